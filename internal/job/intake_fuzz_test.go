package job_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/tablestore"
)

// bufferStore is an in-memory object store that appends all puts to one buffer.
type bufferStore struct {
	job.Objects
	data bytes.Buffer
	lots int
}

func (b *bufferStore) Put(_ context.Context, _ tablestore.ObjectName, data []byte) error {
	b.lots++
	_, err := b.data.Write(data)
	return err
}

func (b *bufferStore) Open(context.Context, tablestore.ObjectName) (io.ReadCloser, error) {
	return nil, tablestore.ErrNotFound
}

// FuzzIntake searches for input that makes Read fail with anything but ErrInput, and for accepted files whose lots do
// not match the reported counts or have invalid or duplicate items.
func FuzzIntake(f *testing.F) {
	const item = `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}`
	for _, seed := range []string{
		"", "\n\n", item, item + "\n" + item, strings.Replace(item, `"a"`, `"b"`, 1) + "\r\n\n" + item,
		`{"custom_id":1}`, `{"custom_id":"a","method":"POST","url":"/services/booking/x","body":0}`, "null", "[", "\x00",
	} {
		f.Add(seed)
	}
	policy := document.StandardPolicy()
	policy.LotItems = 2
	f.Fuzz(func(t *testing.T, input string) {
		objects := &bufferStore{}
		file, err := job.NewIntake(objects, policy, "lawinenwerk", "input").Read(context.Background(), strings.NewReader(input))
		if err != nil {
			assert.Assert(t, errors.Is(err, job.ErrInput), "%v", err)
			return
		}
		assert.Equal(t, file.Lots, objects.lots)
		lines := strings.Split(strings.TrimSuffix(objects.data.String(), "\n"), "\n")
		assert.Equal(t, file.Items, len(lines))
		ids := map[string]bool{}
		for _, line := range lines {
			var one job.Item
			assert.NilError(t, json.Unmarshal([]byte(line), &one))
			assert.Assert(t, one.CustomID != "" && !ids[one.CustomID])
			ids[one.CustomID] = true
		}
	})
}
