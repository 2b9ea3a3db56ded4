package request

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
)

// Progress is the part of a streamed answer that has arrived, over all attempts.
type Progress struct {
	// Tokens is the number of tokens that have arrived.
	Tokens int
	// Finish is the finish reason; it is empty until the answer is finished.
	Finish string
	text   strings.Builder
	// promptLength is the number of tokens of the caller's prompt, without those of a resumed answer; it is zero until an
	// endpoint has reported it.
	promptLength int64
	model        string
	created      int64
	// resumedTokens is how many tokens had arrived before the current attempt.
	resumedTokens int
	// textComplete is true if the text was complete before the current attempt, which then only supplies the usage.
	textComplete bool
	// finishAdded is true if the finish reason was set here because no endpoint sent one.
	finishAdded bool
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// ID is the id in the event; it ends with the request's id if the event belongs to the answer.
	ID   string
	Text string
	// Finish is the finish reason, if the event carries it.
	Finish string
	// Usage is true for an event that carries the usage and no choice.
	Usage        bool
	promptTokens int64
	model        string
	created      int64
}

// ParseChunk parses the data of one event, or a whole answer that is not streamed.
func ParseChunk(data []byte) (Chunk, error) {
	if !gjson.ValidBytes(data) {
		return Chunk{}, ErrNotJSON
	}
	chunk := Chunk{}
	choice := false
	usage := false
	// One pass over the fields is cheaper than a search for each of them.
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			chunk.ID = value.String()
		case "model":
			chunk.model = value.String()
		case "created":
			chunk.created = value.Int()
		case "choices":
			choice = chunk.readChoice(value)
		case "usage":
			usage = value.IsObject()
			chunk.promptTokens = value.Get("prompt_tokens").Int()
		}
		return true
	})
	chunk.Usage = usage && !choice
	return chunk, nil
}

// readChoice reads the first choice and reports whether there is one.
func (c *Chunk) readChoice(choices gjson.Result) bool {
	found := false
	choices.ForEach(func(_, choice gjson.Result) bool {
		found = true
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "delta":
				if content := value.Get("content"); content.Exists() {
					c.Text = content.String()
				}
			case "text":
				c.Text = value.String()
			case "finish_reason":
				c.Finish = value.String()
			}
			return true
		})
		return false
	})
	return found
}

// Belongs reports whether the chunk is part of the answer to the request with the id.
func (c Chunk) Belongs(id ID) bool {
	return strings.HasSuffix(c.ID, string(id))
}

// finishLength is the finish reason of an answer that has reached its maximum number of tokens.
const finishLength = "length"

// BeginAttempt prepares for another attempt at the answer. An answer that was interrupted after its last token is
// marked as finished; the attempt then only supplies its usage.
func (p *Progress) BeginAttempt(shape Shape) {
	if p.Finish == "" && shape.MaxTokens > 0 && p.Tokens >= shape.MaxTokens {
		p.Finish = finishLength
		p.finishAdded = true
	}
	p.resumedTokens = p.Tokens
	p.textComplete = p.Finish != ""
}

// UsageKnown reports whether an endpoint has reported the length of the prompt.
func (p *Progress) UsageKnown() bool {
	return p.promptLength > 0
}

// TakeAddedFinish reports whether BeginAttempt set the finish reason because no endpoint sent one. It returns true only
// once.
func (p *Progress) TakeAddedFinish() bool {
	added := p.finishAdded
	p.finishAdded = false
	return added
}

// Add adds a chunk and reports whether it belongs to the answer.
func (p *Progress) Add(chunk Chunk) bool {
	if p.textComplete && !chunk.Usage {
		return false
	}
	if chunk.Text != "" {
		p.Tokens++
		p.text.WriteString(chunk.Text)
	}
	if chunk.Finish != "" {
		p.Finish = chunk.Finish
	}
	if p.created == 0 {
		p.created = chunk.created
		p.model = chunk.model
	}
	if chunk.Usage && p.promptLength == 0 {
		p.promptLength = max(1, chunk.promptTokens-int64(p.resumedTokens))
	}
	return true
}

// Text returns the text that has arrived.
func (p *Progress) Text() string {
	return p.text.String()
}

// Saved is the progress of a batch item as it is stored between attempts.
type Saved struct {
	Tokens int
	Text   string
}

// Save returns what Resume needs.
func (p *Progress) Save() Saved {
	return Saved{
		Tokens: p.Tokens,
		Text:   p.Text(),
	}
}

// Resume returns a progress that continues from a saved one.
func Resume(saved Saved) *Progress {
	progress := &Progress{
		Tokens:        saved.Tokens,
		resumedTokens: saved.Tokens,
	}
	progress.text.WriteString(saved.Text)
	return progress
}

type answerUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   answerUsage    `json:"usage"`
}

func (p *Progress) usage() answerUsage {
	return answerUsage{
		PromptTokens:     p.promptLength,
		CompletionTokens: int64(p.Tokens),
		TotalTokens:      p.promptLength + int64(p.Tokens),
	}
}

// WholeBody returns the finished answer as a single body, not streamed.
func (p *Progress) WholeBody(r Request) ([]byte, error) {
	text := p.Text()
	choice := answerChoice{
		FinishReason: p.Finish,
	}
	body := answerBody{
		Created: p.created,
		Model:   p.model,
		Usage:   p.usage(),
	}
	if body.Created == 0 {
		body.Created = time.Now().Unix()
	}
	if r.Shape.Chat {
		body.ID = "chatcmpl-" + string(r.ID)
		body.Object = "chat.completion"
		choice.Message = &answerMessage{
			Role:    "assistant",
			Content: text,
		}
	} else {
		body.ID = "cmpl-" + string(r.ID)
		body.Object = "text_completion"
		choice.Text = &text
	}
	body.Choices = []answerChoice{choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, encodeError(err)
	}
	return data, nil
}

// UsageEvent returns the usage event with the totals over all attempts.
func (p *Progress) UsageEvent(data []byte) ([]byte, error) {
	event, err := sjson.SetBytes(data, "usage", p.usage())
	if err != nil {
		return nil, encodeError(err)
	}
	return event, nil
}

type finishDelta struct{}

type finishChoice struct {
	Index        int          `json:"index"`
	Delta        *finishDelta `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type finishBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []finishChoice `json:"choices"`
}

// FinishEvent returns the event that carries the finish reason.
func (p *Progress) FinishEvent(r Request) ([]byte, error) {
	choice := finishChoice{
		FinishReason: p.Finish,
	}
	body := finishBody{
		ID:      "cmpl-" + string(r.ID),
		Object:  "text_completion",
		Created: p.created,
		Model:   p.model,
	}
	if r.Shape.Chat {
		body.ID = "chatcmpl-" + string(r.ID)
		body.Object = "chat.completion.chunk"
		choice.Delta = &finishDelta{}
	} else {
		empty := ""
		choice.Text = &empty
	}
	body.Choices = []finishChoice{choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, encodeError(err)
	}
	return data, nil
}
