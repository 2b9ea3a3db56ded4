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

// sink is an object store that keeps sizes only.
type sink struct {
	objects int
	bytes   int64
	// peak is the most heap in use when an object was put.
	peak uint64
}

func (s *sink) Put(_ context.Context, _ tablestore.ObjectName, data []byte) error {
	s.objects++
	s.bytes += int64(len(data))
	if s.objects%100 == 0 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		s.peak = max(s.peak, stats.HeapInuse)
	}
	return nil
}

func (*sink) Get(context.Context, tablestore.ObjectName) ([]byte, error) {
	return nil, tablestore.ErrNotFound
}

func (*sink) Open(context.Context, tablestore.ObjectName) (io.ReadCloser, error) {
	return nil, tablestore.ErrNotFound
}

func (*sink) Delete(context.Context, tablestore.ObjectName) error {
	return nil
}

// lines is an input file that is made as it is read.
type lines struct {
	items int
	next  int
	rest  string
	// fail is the error after the last line, io.EOF for a whole file.
	fail error
}

func (l *lines) Read(data []byte) (int, error) {
	if l.rest == "" {
		if l.next == l.items {
			return 0, l.fail
		}
		l.rest = fmt.Sprintf(`{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"beacon-7b","max_tokens":64,"messages":[{"role":"user","content":"%s"}]}}`+"\n",
			l.next, strings.Repeat("return sheet ", 20))
		l.next++
	}
	n := copy(data, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// largestFile is the largest input file of the target size.
const largestFile = 930_000

// mostHeapBytes bounds the heap while the largest file streams in.
const mostHeapBytes = 160 << 20

func TestIntakeOfTheLargestFileStaysSmall(t *testing.T) {
	items := largestFile
	if testing.Short() {
		items /= 20
	}
	stored := &sink{}
	began := time.Now()
	file, err := job.NewIntake(stored, document.StandardPolicy(), "lawinenwerk", "input.jsonl").Read(context.Background(), &lines{
		items: items,
		fail:  io.EOF,
	})
	assert.NilError(t, err)
	assert.Equal(t, file.Items, items)
	assert.Equal(t, file.Lots, stored.objects)
	assert.Equal(t, file.Bytes, stored.bytes)
	t.Logf("%d MB in %s, heap at most %d MB", stored.bytes>>20, time.Since(began).Round(time.Millisecond), stored.peak>>20)
	assert.Assert(t, stored.peak < mostHeapBytes, "heap of %d MB", stored.peak>>20)
}

func TestIntakeThatBreaksOffIsNoFile(t *testing.T) {
	_, err := job.NewIntake(&sink{}, document.StandardPolicy(), "lawinenwerk", "input.jsonl").Read(context.Background(), &lines{
		items: 1200,
		fail:  io.ErrUnexpectedEOF,
	})
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "got %v", err)
}
