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

// blocked is a writer that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// TestLogNeverBlocks logs to a writer that takes nothing: no call may wait, and what is lost is counted.
func TestLogNeverBlocks(t *testing.T) {
	to := &blocked{
		release: make(chan struct{}),
	}
	w := NewBoundedWriter(to)
	log := NewLogger(w, "Info")
	for range maxPendingLines + 100 {
		log.Info("line")
	}
	close(to.release)
	w.Close()
	text := to.buffer.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Assert(t, strings.Count(text, "msg=line") >= maxPendingLines)
}

func TestErrorsAreLoggedAsText(t *testing.T) {
	var to bytes.Buffer
	log := NewLogger(&to, "Info")
	log.Info("failed", "err", oops.In("somewhere").Wrap(errors.New("the cause")))
	assert.Assert(t, strings.Contains(to.String(), `err="the cause"`), to.String())
}
