package job_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/tablestore"
)

// countingStore is an object store that records only the number and size of objects.
type countingStore struct {
	objects int
	bytes   int64
	// peak is the largest heap in use that was sampled while objects were put.
	peak uint64
}

func (s *countingStore) Put(_ context.Context, _ tablestore.ObjectName, data []byte) error {
	s.objects++
	s.bytes += int64(len(data))
	if s.objects%100 == 0 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		s.peak = max(s.peak, stats.HeapInuse)
	}
	return nil
}

func (*countingStore) Get(context.Context, tablestore.ObjectName) ([]byte, error) {
	return nil, tablestore.ErrNotFound
}

func (*countingStore) Open(context.Context, tablestore.ObjectName) (io.ReadCloser, error) {
	return nil, tablestore.ErrNotFound
}

func (*countingStore) Delete(context.Context, tablestore.ObjectName) error {
	return nil
}

// generatedInput is a generated input file.
type generatedInput struct {
	items int
	next  int
	rest  string
	// fail is the error after the last line, io.EOF for a complete file.
	fail error
}

func (g *generatedInput) Read(data []byte) (int, error) {
	if g.rest == "" {
		if g.next == g.items {
			return 0, g.fail
		}
		g.rest = fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"beacon-7b","max_tokens":64,"messages":[{"role":"user","content":"%s"}]}}`+"\n",
			g.next, strings.Repeat("return sheet ", 20))
		g.next++
	}
	n := copy(data, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// largestFileItems is the number of items of the largest input file that the system is designed for.
const largestFileItems = 930_000

// maxHeapBytes bounds the heap while the largest file is uploaded.
const maxHeapBytes = 160 << 20

func TestIntakeOfTheLargestFileStaysSmall(t *testing.T) {
	items := largestFileItems
	if testing.Short() {
		items /= 20
	}
	stored := &countingStore{}
	began := time.Now()
	file, err := job.NewIntake(stored, document.StandardPolicy(), "lawinenwerk", "input.jsonl").Read(context.Background(), &generatedInput{
		items: items,
		fail:  io.EOF,
	})
	assert.NilError(t, err)
	assert.Equal(t, file.Items, items)
	assert.Equal(t, file.Lots, stored.objects)
	assert.Equal(t, file.Bytes, stored.bytes)
	t.Logf("%d MB in %s, heap at most %d MB", stored.bytes>>20, time.Since(began).Round(time.Millisecond), stored.peak>>20)
	assert.Assert(t, stored.peak < maxHeapBytes, "heap of %d MB", stored.peak>>20)
}

func TestIntakeOfBrokenUploadFails(t *testing.T) {
	_, err := job.NewIntake(&countingStore{}, document.StandardPolicy(), "lawinenwerk", "input.jsonl").Read(context.Background(), &generatedInput{
		items: 1200,
		fail:  io.ErrUnexpectedEOF,
	})
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "got %v", err)
}
