package telemetry

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync/atomic"
)

// maxPendingLines bounds the lines that wait to be written, some hundred bytes each.
const maxPendingLines = 2048

// BoundedWriter writes lines without ever holding up who logs: lines that find no room are dropped and counted.
type BoundedWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewBoundedWriter returns a writer to another one; Close ends it.
func NewBoundedWriter(to io.Writer) *BoundedWriter {
	w := &BoundedWriter{
		to:    to,
		lines: make(chan []byte, maxPendingLines),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a line; it never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits; what is logged after it is lost.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.done
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.put(<-w.lines)
			}
			return
		}
	}
}

func (w *BoundedWriter) put(line []byte) {
	_, _ = w.to.Write(line)
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = w.to.Write([]byte("level=WARN msg=\"log lines dropped\" lines=" + strconv.FormatInt(dropped, 10) + "\n"))
	}
}

// plainErrors is a handler that logs errors by their text, also those that would log themselves as groups.
type plainErrors struct {
	slog.Handler
}

// Handle logs the record.
func (h plainErrors) Handle(ctx context.Context, r slog.Record) error {
	plain := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if err, is := a.Value.Any().(error); is {
			a = slog.String(a.Key, err.Error())
		}
		plain.AddAttrs(a)
		return true
	})
	return h.Handler.Handle(ctx, plain)
}

// WithAttrs returns a handler with attributes.
func (h plainErrors) WithAttrs(attrs []slog.Attr) slog.Handler {
	return plainErrors{
		Handler: h.Handler.WithAttrs(attrs),
	}
}

// WithGroup returns a handler with a group.
func (h plainErrors) WithGroup(name string) slog.Handler {
	return plainErrors{
		Handler: h.Handler.WithGroup(name),
	}
}
