package telemetry

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
)

// maxPendingLines bounds the number of lines that wait to be written. A line has a few hundred bytes.
const maxPendingLines = 2048

// BoundedWriter writes log lines asynchronously, so that logging never blocks. Lines that arrive while its
// buffer is full are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer that passes lines on to out. Close stops it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		out:   out,
		lines: make(chan []byte, maxPendingLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it if the buffer is full. It never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the pending lines. Lines that are logged after Close are lost.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			return
		}
	}
}

func (w *BoundedWriter) writeLine(line []byte) {
	_, _ = w.out.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = w.out.Write([]byte("level=WARN msg=\"log lines dropped\" lines=" + strconv.FormatInt(dropped, 10) + "\n"))
	}
}

// errorTextHandler is a handler that logs the errors among a record's attributes as text, even if they implement
// slog.LogValuer as oops errors do. Attributes that were added with WithAttrs are logged unchanged.
type errorTextHandler struct {
	slog.Handler
}

// Handle replaces errors in the record's attributes by their text and logs the record.
func (h errorTextHandler) Handle(ctx context.Context, r slog.Record) error {
	converted := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if err, ok := a.Value.Any().(error); ok {
			a = slog.String(a.Key, err.Error())
		}
		converted.AddAttrs(a)
		return true
	})
	return h.Handler.Handle(ctx, converted)
}

// WithAttrs returns a handler with the attributes.
func (h errorTextHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return errorTextHandler{
		Handler: h.Handler.WithAttrs(attrs),
	}
}

// WithGroup returns a handler with the group.
func (h errorTextHandler) WithGroup(name string) slog.Handler {
	return errorTextHandler{
		Handler: h.Handler.WithGroup(name),
	}
}
