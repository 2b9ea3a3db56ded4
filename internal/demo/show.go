package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"rhubarbrudder/internal/standin"
)

// errNotReady means the system did not come up in time.
var errNotReady = errors.New("demo: the system did not become ready")

const (
	readyTimeout = 20 * time.Second
	jobTimeout   = 40 * time.Second
	pollPeriod   = 200 * time.Millisecond
	demoItems    = 20
)

// show sends a streamed request and a batch job, and prints what comes back.
func show(ctx context.Context, running *system, options Options) error {
	base := "http://" + running.settings.VM.Join(running.settings.Ports.Caller)
	if err := waitReady(ctx, running); err != nil {
		return err
	}
	client := openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey(Key))
	if err := showOnline(ctx, &client, options.Out); err != nil {
		return err
	}
	if err := showBatch(ctx, &client, options.Out); err != nil {
		return err
	}
	if !options.Stay {
		return nil
	}
	say(options.Out, "Base URL:        %s/v1\nKey:             %s\nOperators:       http://%s\nOperator token:  %s\nCtrl-C ends it.\n",
		base, Key, running.settings.VM.Join(running.settings.Ports.Operator), Token)
	<-ctx.Done()
	return nil
}

func say(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

func waitReady(ctx context.Context, running *system) error {
	ports := running.settings.Ports
	deadline := time.Now().Add(readyTimeout)
	for _, port := range []int{ports.GatewayStatus, ports.DispatcherStatus, ports.ControllerStatus} {
		for !ready(ctx, "http://"+running.settings.VM.Join(port)+"/ready") {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func showOnline(ctx context.Context, client *openai.Client, out io.Writer) error {
	say(out, "Online request, streamed:\n  ")
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: model,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.UserMessage("Is beacon 17 ready for hire?"),
		},
		MaxTokens: openai.Int(12),
	})
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			say(out, "%s", choice.Delta.Content)
		}
	}
	say(out, "\n")
	return stream.Err()
}

func showBatch(ctx context.Context, client *openai.Client, out io.Writer) error {
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(demoInput()), "return-sheets.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return err
	}
	batch, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		return err
	}
	say(out, "Batch job %s accepted, %d items, one of which can never be done.\n", batch.ID, demoItems)
	batch, err = waitBatch(ctx, client, batch.ID, out)
	if err != nil {
		return err
	}
	say(out, "Job %s: %d completed, %d failed of %d.\nResults: GET /v1/files/%s/content\nErrors:  GET /v1/files/%s/content\n",
		batch.Status, batch.RequestCounts.Completed, batch.RequestCounts.Failed, batch.RequestCounts.Total, batch.OutputFileID, batch.ErrorFileID)
	return nil
}

func waitBatch(ctx context.Context, client *openai.Client, id string, out io.Writer) (*openai.Batch, error) {
	deadline := time.Now().Add(jobTimeout)
	for {
		batch, err := client.Batches.Get(ctx, id)
		if err != nil {
			return nil, err
		}
		if batch.Status == openai.BatchStatusCompleted {
			return batch, nil
		}
		if time.Now().After(deadline) {
			return nil, errors.New("demo: the job did not end in time")
		}
		say(out, "  %d of %d done\n", batch.RequestCounts.Completed+batch.RequestCounts.Failed, batch.RequestCounts.Total)
		time.Sleep(5 * pollPeriod)
	}
}

func demoInput() string {
	var input strings.Builder
	for i := range demoItems {
		content := fmt.Sprintf("Return sheet for shop %d", i)
		if i == demoItems/2 {
			content += " " + standin.NeverMark
		}
		_, _ = fmt.Fprintf(&input, `{"custom_id":"shop-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","max_tokens":8,"messages":[{"role":"user","content":"%s"}]}}`+"\n", i, model, content)
	}
	return input.String()
}
