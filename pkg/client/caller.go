package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"net/url"
	"strconv"
)

// Caller is a client for callers who run batch jobs. It sends requests to a gateway. For completions, use any
// OpenAI-compatible client.
type Caller struct {
	connection
}

// NewCaller returns a client of the gateway at the URL that sends the organisation's key.
func NewCaller(client *http.Client, url, key string) *Caller {
	return &Caller{
		connection: newConnection(client, url, key, callerFailure),
	}
}

// callerFailure decodes an error in the OpenAI format.
func callerFailure(status int, data []byte) *Failure {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	failure := &Failure{
		Status:  status,
		Code:    http.StatusText(status),
		Message: string(data),
	}
	if err := json.Unmarshal(data, &body); err == nil && body.Error.Code != "" {
		failure.Code = body.Error.Code
		failure.Message = body.Error.Message
	}
	return failure
}

// File is an uploaded file.
type File struct {
	ID    string `json:"id"`
	Bytes int64  `json:"bytes"`
}

// Batch is a batch job. Its fields have the names of the OpenAI API.
type Batch struct {
	ID string `json:"id"`
	// Endpoint is the path that the items name, such as /v1/chat/completions.
	Endpoint     string `json:"endpoint"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id,omitempty"`
	ErrorFileID  string `json:"error_file_id,omitempty"`
	// CreatedAt and ExpiresAt, the time at which the job is due, are Unix times in seconds.
	CreatedAt     int64       `json:"created_at"`
	ExpiresAt     int64       `json:"expires_at"`
	RequestCounts BatchCounts `json:"request_counts"`
}

// BatchCounts holds the counts of a job's items.
type BatchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Ended reports whether the job has reached a final status.
func (b Batch) Ended() bool {
	switch b.Status {
	case "completed", "cancelled", "failed", "expired":
		return true
	}
	return false
}

// NewBatch describes a job to create.
type NewBatch struct {
	InputFileID string `json:"input_file_id"`
	// Endpoint is the path that the items name.
	Endpoint string `json:"endpoint"`
	// CompletionWindow is the time until the job is due, such as 24h.
	CompletionWindow string `json:"completion_window"`
	// Metadata may hold a due time in RFC 3339 under the key due_at, which then replaces the completion window.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// Upload streams input to a new file of batch items.
func (c *Caller) Upload(ctx context.Context, name string, input io.Reader) (File, error) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() {
		writer.CloseWithError(writeForm(form, name, input))
	}()
	defer func() { _ = reader.Close() }()
	var file File
	request := c.base.New().Post("/v1/files").Set("Content-Type", form.FormDataContentType()).Body(reader)
	err := c.do(ctx, request, &file)
	return file, err
}

// writeForm writes the multipart form of an upload.
func writeForm(form *multipart.Writer, name string, input io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, input); err != nil {
		return err
	}
	return form.Close()
}

// Create creates a job. key is its idempotency key: another call with the same key returns the same job. Create retries
// while the gateway is unavailable.
func (c *Caller) Create(ctx context.Context, newBatch NewBatch, key string) (Batch, error) {
	var batch Batch
	err := retry(ctx, func() error {
		return c.do(ctx, c.base.New().Post("/v1/batches").Set("Idempotency-Key", key).BodyJSON(newBatch), &batch)
	}, func(err error) bool {
		return errors.Is(err, ErrUnavailable)
	})
	return batch, err
}

// Batch returns a job.
func (c *Caller) Batch(ctx context.Context, id string) (Batch, error) {
	var batch Batch
	err := c.do(ctx, c.base.New().Get("/v1/batches/"+url.PathEscape(id)), &batch)
	return batch, err
}

// Batches returns up to limit jobs that follow the job with the id after, and whether there are more.
func (c *Caller) Batches(ctx context.Context, after string, limit int) ([]Batch, bool, error) {
	var list struct {
		Data    []Batch `json:"data"`
		HasMore bool    `json:"has_more"`
	}
	query := url.Values{}
	query.Set("after", after)
	query.Set("limit", strconv.Itoa(limit))
	err := c.do(ctx, c.base.New().Get("/v1/batches?"+query.Encode()), &list)
	return list.Data, list.HasMore, err
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, id string) (Batch, error) {
	var batch Batch
	err := c.do(ctx, c.base.New().Post("/v1/batches/"+url.PathEscape(id)+"/cancel"), &batch)
	return batch, err
}

// Content returns a file's content, which must be closed after use.
func (c *Caller) Content(ctx context.Context, file string) (io.ReadCloser, error) {
	return c.open(ctx, c.base.New().Get("/v1/files/"+url.PathEscape(file)+"/content"))
}
