package telemetry

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/samber/oops"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// TestLogNeverBlocks logs to a writer that blocks. No logging call may wait, and dropped lines must be reported.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{
		release: make(chan struct{}),
	}
	w := NewBoundedWriter(out)
	log := NewLogger(w, "Info")
	for range maxPendingLines + 100 {
		log.Info("line")
	}
	close(out.release)
	w.Close()
	text := out.buffer.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.Count(text, "msg=line") >= maxPendingLines)
}

func TestErrorsAreLoggedAsText(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, "Info")
	log.Info("failed", "err", oops.In("somewhere").Wrap(errors.New("the cause")))
	assert.Assert(t, strings.Contains(out.String(), `err="the cause"`), out.String())
}
