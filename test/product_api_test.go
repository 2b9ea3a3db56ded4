package test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/standin"
)

const (
	otherKey = "other-key"
	// secretPrompt is a prompt that must not appear in any log.
	secretPrompt = "Zugspitze-4711"
)

// TestCallersAPI tests the API for callers with the published OpenAI client: valid input, invalid input and requests of
// another organisation.
func TestCallersAPI(t *testing.T) {
	t.Parallel()
	options := defaultCluster(112)
	options.vms = 2
	options.policy.LotItems = 5
	options.organisations = map[document.OrganisationID]document.Organisation{
		"wenber": testOrganisation(otherKey),
	}
	c := newCluster(t, options)
	api := callersAPI{
		c:      c,
		client: c.client(0),
		other:  openai.NewClient(option.WithBaseURL(c.gatewayURL(1)+"/v1/"), option.WithAPIKey(otherKey), option.WithMaxRetries(0)),
	}
	t.Run("completions", api.completions)
	t.Run("files and batches", api.batches)
	t.Run("resent batch", api.resubmission)
	t.Run("other organisation", api.otherOrganisation)
	t.Run("bad input", api.badInput)
	t.Run("logs hold no prompt and no key", api.logs)
}

// callersAPI holds a cluster and the clients of two organisations.
type callersAPI struct {
	c      *cluster
	client openai.Client
	other  openai.Client
}

func (a callersAPI) completions(t *testing.T) {
	ctx := context.Background()
	models, err := a.client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	assert.Equal(t, models.Data[0].ID, testModel)
	complete, err := a.client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model:     testModel,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(secretPrompt)},
		MaxTokens: openai.Int(6),
	})
	assert.NilError(t, err)
	assert.Equal(t, complete.Choices[0].Message.Content, standin.Answer(secretPrompt, 6))
	assert.Equal(t, complete.Usage.CompletionTokens, int64(6))
	streamed, err := streamChat(a.client, secretPrompt, 6)
	assert.NilError(t, err)
	assert.Equal(t, streamed, complete.Choices[0].Message.Content)
	text, err := a.client.Completions.New(ctx, openai.CompletionNewParams{
		Model:     testModel,
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(secretPrompt)},
		MaxTokens: openai.Int(6),
	})
	assert.NilError(t, err)
	assert.Equal(t, text.Usage.CompletionTokens, int64(6))
}

func (a callersAPI) batches(t *testing.T) {
	ctx := context.Background()
	var ids []string
	for range 3 {
		ids = append(ids, submitBatch(t, a.client, batchInput(6, 2, func(i int) string {
			if i == 3 {
				return standin.InvalidPromptMark
			}
			return secretPrompt
		})).ID)
	}
	seen := map[string]bool{}
	pages := a.client.Batches.ListAutoPaging(ctx, openai.BatchListParams{
		Limit: openai.Int(2),
	})
	for pages.Next() {
		assert.Assert(t, !seen[pages.Current().ID])
		seen[pages.Current().ID] = true
	}
	assert.NilError(t, pages.Err())
	assert.Equal(t, len(seen), len(ids))
	batch := waitStatus(t, a.client, ids[0], openai.BatchStatusCompleted)
	assert.Equal(t, strings.Count(fileContent(t, a.client, batch.OutputFileID), "\n"), 5)
	assert.Equal(t, strings.Count(fileContent(t, a.client, batch.ErrorFileID), "\n"), 1)
	output, err := a.client.Files.Get(ctx, batch.OutputFileID)
	assert.NilError(t, err)
	assert.Equal(t, output.Purpose, openai.FileObjectPurposeBatchOutput)
	file, err := a.client.Files.Get(ctx, batch.InputFileID)
	assert.NilError(t, err)
	assert.Equal(t, int(file.Bytes), len(fileContent(t, a.client, file.ID)))
	_, err = a.client.Batches.Cancel(ctx, ids[0])
	assert.NilError(t, err)

	list, err := a.client.Files.List(ctx, openai.FileListParams{})
	assert.NilError(t, err)
	assert.Equal(t, len(list.Data), 3)
	deleted, err := a.client.Files.Delete(ctx, file.ID)
	assert.NilError(t, err)
	assert.Assert(t, deleted.Deleted)
	_, err = a.client.Files.Get(ctx, file.ID)
	assert.Equal(t, statusOf(err), http.StatusNotFound)
	list, err = a.client.Files.List(ctx, openai.FileListParams{})
	assert.NilError(t, err)
	assert.Equal(t, len(list.Data), 2)
	assert.Equal(t, strings.Count(fileContent(t, a.client, batch.OutputFileID), "\n"), 5)
}

// resubmission submits a job a second time after its input file was deleted, and submits jobs that must be refused.
func (a callersAPI) resubmission(t *testing.T) {
	ctx := context.Background()
	original := submitBatch(t, a.client, batchInput(1, 1, func(int) string { return secretPrompt }))
	create := func(key, due string) (*openai.Batch, error) {
		params := openai.BatchNewParams{
			InputFileID:      original.InputFileID,
			Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
			CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		}
		if due != "" {
			params.Metadata = map[string]string{"due_at": due}
		}
		return a.client.Batches.New(ctx, params, option.WithHeader("Idempotency-Key", key))
	}
	first, err := create("evening", "")
	assert.NilError(t, err)
	_, err = create("late", "2020-01-01T00:00:00Z")
	assert.Equal(t, statusOf(err), http.StatusBadRequest)
	_, err = create("far", "2199-01-01T00:00:00Z")
	assert.Equal(t, statusOf(err), http.StatusBadRequest)
	_, err = a.client.Files.Delete(ctx, original.InputFileID)
	assert.NilError(t, err)
	repeated, err := create("evening", "")
	assert.NilError(t, err)
	assert.Equal(t, repeated.ID, first.ID)
	_, err = create("evening", "2199-01-01T00:00:00Z")
	assert.Equal(t, statusOf(err), http.StatusConflict)
	_, err = create("another", "")
	assert.Equal(t, statusOf(err), http.StatusNotFound)
	batch := waitStatus(t, a.client, first.ID, openai.BatchStatusCompleted)
	assert.Equal(t, batch.RequestCounts.Completed, int64(1))
}

func statusOf(err error) int {
	var failed *openai.Error
	if errors.As(err, &failed) {
		return failed.StatusCode
	}
	return 0
}

// otherOrganisation checks that another organisation, which knows all ids, can neither read, list, use, cancel nor
// delete the files and jobs.
func (a callersAPI) otherOrganisation(t *testing.T) {
	ctx := context.Background()
	batch := waitStatus(t, a.client, submitBatch(t, a.client, batchInput(1, 1, func(int) string { return secretPrompt })).ID, openai.BatchStatusCompleted)
	running := submitBatch(t, a.client, batchInput(5, 400, func(int) string { return secretPrompt }))
	cases := map[string]func() error{
		"get job":    func() error { _, err := a.other.Batches.Get(ctx, batch.ID); return err },
		"cancel job": func() error { _, err := a.other.Batches.Cancel(ctx, running.ID); return err },
		"get input":  func() error { _, err := a.other.Files.Get(ctx, batch.InputFileID); return err },
		"read input": func() error { return readAll(a.other.Files.Content(ctx, batch.InputFileID)) },
		"get output": func() error { _, err := a.other.Files.Get(ctx, batch.OutputFileID); return err },
		"read output": func() error {
			return readAll(a.other.Files.Content(ctx, batch.OutputFileID))
		},
		"read errors": func() error { return readAll(a.other.Files.Content(ctx, "file-error-"+batch.ID)) },
		"delete input": func() error {
			_, err := a.other.Files.Delete(ctx, batch.InputFileID)
			return err
		},
		"run input": func() error {
			_, err := a.other.Batches.New(ctx, openai.BatchNewParams{
				InputFileID:      batch.InputFileID,
				Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
				CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
			})
			return err
		},
	}
	for name, attempt := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, statusOf(attempt()), http.StatusNotFound)
		})
	}
	jobs, err := a.other.Batches.List(ctx, openai.BatchListParams{})
	assert.NilError(t, err)
	assert.Equal(t, len(jobs.Data), 0)
	files, err := a.other.Files.List(ctx, openai.FileListParams{})
	assert.NilError(t, err)
	assert.Equal(t, len(files.Data), 0)
	found, err := a.client.Batches.Get(ctx, running.ID)
	assert.NilError(t, err)
	assert.Assert(t, found.CancellingAt == 0)
	_, err = a.client.Batches.Cancel(ctx, running.ID)
	assert.NilError(t, err)
	waitStatus(t, a.client, running.ID, openai.BatchStatusCancelled)
}

func readAll(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// badInput sends invalid requests. It checks the errors and that nothing was stored or run.
func (a callersAPI) badInput(t *testing.T) {
	item := func(id string) string {
		return fmt.Sprintf(`{"custom_id":"%s","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","messages":[]}}`, id, testModel)
	}
	var lines strings.Builder
	for i := range 7 {
		lines.WriteString(item(strconv.Itoa(i)) + "\n")
	}
	good := lines.String()
	chat := func(model string) string {
		return `{"model":"` + model + `","messages":[{"role":"user","content":"` + secretPrompt + `"}]}`
	}
	cases := map[string]struct {
		method  string
		path    string
		key     string
		noKey   bool
		body    string
		file    string
		status  int
		code    string
		message string
	}{
		"wrong key":         {path: "/v1/chat/completions", key: "guess", body: chat(testModel), status: 401, code: "invalid_api_key"},
		"missing key":       {path: "/v1/chat/completions", noKey: true, body: chat(testModel), status: 401, code: "invalid_api_key"},
		"broken JSON":       {path: "/v1/chat/completions", body: `{"model":`, status: 400, code: "invalid_body"},
		"no messages":       {path: "/v1/chat/completions", body: `{"model":"` + testModel + `"}`, status: 400, code: "invalid_body"},
		"unknown model":     {path: "/v1/chat/completions", body: chat("gpt-9"), status: 404, code: "model_not_found"},
		"over-long body":    {path: "/v1/chat/completions", body: strings.Repeat(" ", 17<<20) + chat(testModel), status: 413, code: "body_too_large"},
		"unknown path":      {path: "/v1/images", body: "{}", status: 404, code: "unknown_url"},
		"unknown service":   {path: "/services/ski/x", body: "{}", status: 404, code: "service_not_found"},
		"broken line":       {path: "/v1/files", file: good + `{"custom_id"`, status: 400, code: "invalid_file", message: "line 8"},
		"custom_id twice":   {path: "/v1/files", file: good + item("3"), status: 400, code: "invalid_file", message: "line 8: custom_id 3 is used twice"},
		"custom_id missing": {path: "/v1/files", file: good + item(""), status: 400, code: "invalid_file", message: "line 8: custom_id is missing"},
		"empty file":        {path: "/v1/files", file: "\n", status: 400, code: "invalid_file", message: "no items"},
		"no form":           {path: "/v1/files", body: good, status: 400, code: "invalid_form"},
		"batch of nothing":  {path: "/v1/batches", body: `{"input_file_id":"file-x","endpoint":"/v1/chat/completions"}`, status: 404, code: "not_found"},
		"batch not JSON":    {path: "/v1/batches", body: `[`, status: 400, code: "invalid_body"},
		"no such batch":     {method: http.MethodGet, path: "/v1/batches/batch_1", status: 404, code: "not_found"},
	}
	runs := a.runs()
	rows := len(a.c.platform.Table.Rows("File")) + len(a.c.platform.Table.Rows("Job"))
	objects := len(a.c.platform.Objects.Names("file/"))
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			request := a.request(t, tt.method, tt.path, tt.body, tt.file)
			if !tt.noKey {
				request.Header.Set("Authorization", "Bearer "+testKey+tt.key)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			var failed struct {
				Error struct{ Message, Type, Code string }
			}
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&failed))
			assert.Equal(t, response.StatusCode, tt.status, "%v", failed)
			assert.Equal(t, failed.Error.Code, tt.code, "%v", failed)
			assert.Assert(t, strings.Contains(failed.Error.Message, tt.message), failed.Error.Message)
			assert.Equal(t, response.Header.Get("Rhubarbrudder-Outcome"), "not run")
		})
	}
	assert.Equal(t, a.runs(), runs)
	assert.Equal(t, len(a.c.platform.Table.Rows("File"))+len(a.c.platform.Table.Rows("Job")), rows)
	assert.Equal(t, len(a.c.platform.Objects.Names("file/")), objects)
}

func (a callersAPI) runs() int {
	runs := 0
	for _, engine := range a.c.engines {
		runs += len(engine.Record.Runs())
	}
	return runs
}

func (a callersAPI) request(t *testing.T, method, path, body, file string) *http.Request {
	t.Helper()
	content := bytes.NewBufferString(body)
	contentType := "application/json"
	if file != "" {
		form := multipart.NewWriter(content)
		assert.NilError(t, form.WriteField("purpose", "batch"))
		part, err := form.CreateFormFile("file", "input.jsonl")
		assert.NilError(t, err)
		_, err = io.WriteString(part, file)
		assert.NilError(t, err)
		assert.NilError(t, form.Close())
		contentType = form.FormDataContentType()
	}
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, a.c.gatewayURL(0)+path, content)
	assert.NilError(t, err)
	request.Header.Set("Content-Type", contentType)
	return request
}

// logs checks that the logs of the preceding tests contain no secrets and consist of log lines only.
func (a callersAPI) logs(t *testing.T) {
	lines := 0
	for name, proc := range a.c.processes {
		text := proc.logText()
		for _, secret := range []string{secretPrompt, testKey, otherKey, testToken, "test-secret"} {
			assert.Assert(t, !strings.Contains(text, secret), "%s logged %q", name, secret)
		}
		for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
			lines++
			assert.Assert(t, strings.HasPrefix(line, "time=") && strings.Contains(line, " level=") && strings.Contains(line, " msg="), "%s: %s", name, line)
		}
	}
	assert.Assert(t, lines > 10)
}
