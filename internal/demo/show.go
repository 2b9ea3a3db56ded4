package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/pkg/client"
)

// errNotReady means that a process of the system was not ready within readyTimeout, or before ctx ended.
var errNotReady = errors.New("demo: the system did not become ready")

const (
	readyTimeout = 20 * time.Second
	jobTimeout   = 40 * time.Second
	pollInterval = 200 * time.Millisecond
	demoItems    = 20
)

// runScenario sends a streamed online request and a batch job, and prints the answers and the burn report.
func runScenario(ctx context.Context, sys *system, options Options) error {
	base := "http://" + sys.settings.VM.HostPort(sys.settings.Ports.Caller)
	if err := waitReady(ctx, sys); err != nil {
		return err
	}
	api := openai.NewClient(option.WithBaseURL(base+"/v1/"), option.WithAPIKey(Key))
	if err := showOnline(ctx, &api, options.Out); err != nil {
		return err
	}
	if err := showBatch(ctx, &api, options.Out); err != nil {
		return err
	}
	if err := showBurn(ctx, sys, options.Out); err != nil {
		return err
	}
	if !options.Stay {
		return nil
	}
	printf(options.Out, "Base URL:        %s/v1\nKey:             %s\nOperators:       http://%s\nOperator token:  %s\nPlatform:        %s (a stand-in; PUT /faults/table plays an outage)\nCtrl-C ends it.\n",
		base, Key, sys.settings.VM.HostPort(sys.settings.Ports.Operator), Token, sys.settings.Platform.TableURL)
	<-ctx.Done()
	return nil
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// waitReady waits until all three processes report that they are ready.
func waitReady(ctx context.Context, sys *system) error {
	ports := sys.settings.Ports
	deadline := time.Now().Add(readyTimeout)
	for _, port := range []int{ports.GatewayStatus, ports.DispatcherStatus, ports.ControllerStatus} {
		for !isReady(ctx, "http://"+sys.settings.VM.HostPort(port)+"/ready") {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
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

func showOnline(ctx context.Context, api *openai.Client, out io.Writer) error {
	printf(out, "Online request, streamed:\n  ")
	stream := api.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: model,
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.UserMessage("Is beacon 17 ready for hire?"),
		},
		MaxTokens: openai.Int(12),
	})
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			printf(out, "%s", choice.Delta.Content)
		}
	}
	printf(out, "\n")
	return stream.Err()
}

func showBatch(ctx context.Context, api *openai.Client, out io.Writer) error {
	file, err := api.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(demoInput()), "return-sheets.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return err
	}
	batch, err := api.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		return err
	}
	printf(out, "Batch job %s accepted, %d items, one of which can never be done.\n", batch.ID, demoItems)
	batch, err = waitBatch(ctx, api, batch.ID, out)
	if err != nil {
		return err
	}
	printf(out, "Job %s: %d completed, %d failed of %d.\nResults: GET /v1/files/%s/content\nErrors:  GET /v1/files/%s/content\n",
		batch.Status, batch.RequestCounts.Completed, batch.RequestCounts.Failed, batch.RequestCounts.Total, batch.OutputFileID, batch.ErrorFileID)
	return nil
}

func waitBatch(ctx context.Context, api *openai.Client, id string, out io.Writer) (*openai.Batch, error) {
	deadline := time.Now().Add(jobTimeout)
	for {
		batch, err := api.Batches.Get(ctx, id)
		if err != nil {
			return nil, err
		}
		if batch.Status == openai.BatchStatusCompleted {
			return batch, nil
		}
		if time.Now().After(deadline) {
			return nil, errors.New("demo: the job did not end in time")
		}
		printf(out, "  %d of %d done\n", batch.RequestCounts.Completed+batch.RequestCounts.Failed, batch.RequestCounts.Total)
		time.Sleep(5 * pollInterval)
	}
}

// showBurn prints the burn report, which says how fast each service uses up the error budget of its objectives.
func showBurn(ctx context.Context, sys *system, out io.Writer) error {
	operator := client.NewOperator(http.DefaultClient, "http://"+sys.settings.VM.HostPort(sys.settings.Ports.Operator), Token)
	response, err := operator.Get(ctx, "/report/burn")
	if err != nil {
		return err
	}
	var report burn.Report
	if err := json.Unmarshal(response, &report); err != nil {
		return err
	}
	printf(out, "Burn report (rhubarbrudder report burn):\n")
	for _, row := range report.Services {
		objective := string(row.Objective)
		if row.LimitMilliseconds > 0 {
			objective = fmt.Sprintf("%s within %d ms", row.Objective, row.LimitMilliseconds)
		}
		printf(out, "  %s, %s: %d events, budget left %.0f %%, burn over 5 min %.2f\n",
			row.Service, objective, row.Events, 100*row.BudgetLeft, row.Burn5m)
	}
	for _, late := range report.LateJobs {
		printf(out, "  job %s is %d s late\n", late.Job, late.LateSeconds)
	}
	for _, silent := range report.Silent {
		printf(out, "  no answer from %s\n", silent)
	}
	return nil
}

// demoInput returns the batch's input file. The item in the middle carries a mark that makes the stand-in engine refuse
// it.
func demoInput() string {
	var input strings.Builder
	for i := range demoItems {
		content := fmt.Sprintf("Return sheet for shop %d", i)
		if i == demoItems/2 {
			content += " " + standin.InvalidPromptMark
		}
		_, _ = fmt.Fprintf(&input, `{"custom_id":"shop-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","max_tokens":8,"messages":[{"role":"user","content":"%s"}]}}`+"\n", i, model, content)
	}
	return input.String()
}
