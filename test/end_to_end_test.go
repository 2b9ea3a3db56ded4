package test

import (
	"context"
	"debug/elf"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/standin"
)

// batchInput returns the input of a job whose items ask for the given number of tokens.
func batchInput(items, tokens int, content func(i int) string) string {
	var input strings.Builder
	for i := range items {
		_, _ = fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}}`+"\n",
			i, testModel, tokens, content(i))
	}
	return input.String()
}

// submitBatch uploads an input and creates a job from it.
func submitBatch(t testing.TB, client openai.Client, input string) *openai.Batch {
	t.Helper()
	ctx := context.Background()
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(input), "input.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	assert.NilError(t, err)
	return batch
}

// waitStatus waits until a job has the status.
func waitStatus(t testing.TB, client openai.Client, id string, status openai.BatchStatus) *openai.Batch {
	t.Helper()
	var batch *openai.Batch
	waitFor(t, "batch to be "+string(status), readyTimeout, func() bool {
		found, err := client.Batches.Get(context.Background(), id)
		if err != nil {
			return false
		}
		batch = found
		return batch.Status == status
	})
	return batch
}

func fileContent(t *testing.T, client openai.Client, file string) string {
	t.Helper()
	response, err := client.Files.Content(context.Background(), file)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(data)
}

// TestOnlineAndBatchEndToEnd sends a chat through each VM's gateway and runs a job with one item that the engines
// refuse.
func TestOnlineAndBatchEndToEnd(t *testing.T) {
	cases := map[string]struct {
		net int
		vms int
	}{
		"three VMs": {
			net: 20,
			vms: 3,
		},
		"twelve VMs": {
			net: 21,
			vms: 12,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			options := defaultCluster(tt.net)
			options.vms = tt.vms
			c := newCluster(t, options)
			for vm := range tt.vms {
				question := fmt.Sprintf("Is beacon %d ready?", vm)
				answer, err := streamChat(c.client(vm), question, 8)
				assert.NilError(t, err)
				assert.Equal(t, answer, standin.Answer(question, 8))
			}
			client := c.client(0)
			batch := submitBatch(t, client, batchInput(30, 5, func(i int) string {
				if i == 7 {
					return standin.InvalidPromptMark
				}
				return fmt.Sprintf("sheet %d", i)
			}))
			batch = waitStatus(t, client, batch.ID, openai.BatchStatusCompleted)
			assert.Equal(t, batch.RequestCounts.Completed, int64(29))
			assert.Equal(t, batch.RequestCounts.Failed, int64(1))
			assert.Equal(t, strings.Count(fileContent(t, client, batch.OutputFileID), "\n"), 29)
			assert.Assert(t, strings.Contains(fileContent(t, client, batch.ErrorFileID), "item-7"))
		})
	}
}

// streamChat sends a streamed chat and returns the complete answer.
func streamChat(client openai.Client, question string, tokens int64) (string, error) {
	stream := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: testModel,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.UserMessage(question),
		},
		MaxTokens: openai.Int(tokens),
	})
	defer func() { _ = stream.Close() }()
	var answer strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			answer.WriteString(choice.Delta.Content)
		}
	}
	return answer.String(), stream.Err()
}

// TestBinaryIsLinkedToTheCLibrary checks that the binary is linked dynamically to libc.
func TestBinaryIsLinkedToTheCLibrary(t *testing.T) {
	folder, err := binaries()
	assert.NilError(t, err)
	file, err := elf.Open(filepath.Join(folder, "rhubarbrudder"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	assert.NilError(t, err)
	linked := slices.ContainsFunc(libraries, func(name string) bool {
		return strings.HasPrefix(name, "libc.so")
	})
	assert.Assert(t, linked, "libraries: %v", libraries)
}
