// Package request describes a caller's request: its identity, the parts of its body that matter for routing, whether it
// has reached an endpoint, and how its answer is assembled from one or more attempts.
package request

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"rhubarbrudder/internal/document"
)

// ID identifies a request in all processes and at the endpoint.
type ID string

// NewID returns an unused id.
func NewID() ID {
	return ID(uuid.Must(uuid.NewV7()).String())
}

// Class tells whether a request is online or part of a batch job.
type Class string

const (
	// ClassOnline is for requests whose caller waits for the answer.
	ClassOnline Class = "Online"
	// ClassBatch is for items of batch jobs.
	ClassBatch Class = "Batch"
)

// Request is one request to a service.
type Request struct {
	ID           ID
	Organisation document.OrganisationID
	Service      document.ServiceName
	Class        Class
	Method       string
	// Path is the path at the endpoint, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Shape describes the body of a request to a model engine; it is zero for plain services.
	Shape Shape
	// Idempotent is true if the request can safely be sent again even if it has already run.
	Idempotent bool
	Deadline   time.Time
}

// Shape holds the fields of a completion request's body that the system uses.
type Shape struct {
	// Engine is true for every parsed body; it is false only in the zero Shape, which stands for a plain service.
	Engine bool
	// Chat is true for a chat and false for a text completion.
	Chat   bool
	Model  document.ModelName
	Stream bool
	// Usage is true if the caller requested the usage at the end of the stream.
	Usage bool
	// Resumable is true if an interrupted answer can be continued on another endpoint.
	Resumable bool
	// MaxTokens is the maximum number of tokens of the answer, or zero if the request sets none.
	MaxTokens int
	// PrefixKey is the beginning of the raw JSON of the prompt or messages; requests with the same key can share a
	// cached prefix.
	PrefixKey string
}

// prefixBytes is the maximum length of a PrefixKey.
const prefixBytes = 256

// ParseShape parses a completion request's body. The path distinguishes chats from text completions.
func ParseShape(path string, body []byte) (Shape, error) {
	if !gjson.ValidBytes(body) {
		return Shape{}, ErrNotJSON
	}
	root := gjson.ParseBytes(body)
	shape := Shape{
		Engine:    true,
		Chat:      strings.HasSuffix(path, "/chat/completions"),
		Model:     document.ModelName(root.Get("model").String()),
		Stream:    root.Get("stream").Bool(),
		Usage:     root.Get("stream_options.include_usage").Bool(),
		MaxTokens: maxTokens(root),
	}
	if shape.Model == "" {
		return Shape{}, ErrNoModel
	}
	prompt := root.Get("prompt")
	if shape.Chat {
		prompt = root.Get("messages")
		if !prompt.IsArray() || len(prompt.Array()) == 0 {
			return Shape{}, ErrNoMessages
		}
	} else if prompt.Type != gjson.String {
		return Shape{}, ErrNoPrompt
	}
	shape.PrefixKey = prompt.Raw[:min(len(prompt.Raw), prefixBytes)]
	shape.Resumable = isResumable(root)
	return shape, nil
}

func maxTokens(root gjson.Result) int {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if value := root.Get(field); value.Exists() {
			return int(value.Int())
		}
	}
	return 0
}

// isResumable reports whether the answer is a single plain text to which tokens are only appended, so that another
// endpoint can continue it from the text that has arrived.
func isResumable(root gjson.Result) bool {
	if n := root.Get("n"); n.Exists() && n.Int() != 1 {
		return false
	}
	for _, field := range []string{"tools", "functions", "logprobs", "response_format", "best_of", "echo", "suffix"} {
		if value := root.Get(field); value.Exists() && value.Type != gjson.Null && value.Type != gjson.False {
			return false
		}
	}
	return true
}

// EndpointBody returns the body to send to an endpoint. If the answer can be resumed, the body requests a stream with
// usage and, if the progress holds tokens, only the rest of the answer. The progress may be nil.
func (r Request) EndpointBody(progress *Progress) ([]byte, error) {
	if !r.Shape.Engine || !r.Shape.Resumable {
		return r.Body, nil
	}
	body, err := sjson.SetBytes(r.Body, "stream", true)
	if err != nil {
		return nil, encodeError(err)
	}
	body, err = sjson.SetRawBytes(body, "stream_options", []byte(`{"include_usage":true}`))
	if err != nil {
		return nil, encodeError(err)
	}
	if progress == nil || progress.Tokens == 0 {
		return body, nil
	}
	return r.resumeBody(body, progress)
}

// resumeBody returns a body that requests the part of the answer that the progress does not hold yet.
func (r Request) resumeBody(body []byte, progress *Progress) ([]byte, error) {
	var err error
	if r.Shape.Chat {
		message := map[string]string{
			"role":    "assistant",
			"content": progress.Text(),
		}
		body, err = sjson.SetBytes(body, "messages.-1", message)
		if err == nil {
			// This field and the next are extensions of the OpenAI API by engines such as vLLM: the last message is
			// continued instead of being answered.
			body, err = sjson.SetBytes(body, "continue_final_message", true)
		}
		if err == nil {
			body, err = sjson.SetBytes(body, "add_generation_prompt", false)
		}
	} else {
		prompt := gjson.GetBytes(body, "prompt").String() + progress.Text()
		body, err = sjson.SetBytes(body, "prompt", prompt)
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return r.withRemainingTokens(body, progress.Tokens)
}

func (r Request) withRemainingTokens(body []byte, done int) ([]byte, error) {
	var err error
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		value := gjson.GetBytes(body, field)
		if !value.Exists() {
			continue
		}
		body, err = sjson.SetBytes(body, field, max(1, int(value.Int())-done))
		if err != nil {
			return nil, encodeError(err)
		}
	}
	return body, nil
}
