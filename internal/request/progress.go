package request

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
)

// Progress is how much of a streamed answer has arrived, over all its attempts.
type Progress struct {
	Tokens  int
	Finish  string
	text    strings.Builder
	prompt  int64
	model   string
	created int64
	// resumed is how many tokens had arrived before the present attempt.
	resumed int
	// ended says that the text was whole before the present attempt, which only tells the usage.
	ended bool
	// added says that no endpoint sent the finish reason.
	added bool
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID     string
	Text   string
	Finish string
	// Usage is true for the event that carries the usage and no choice.
	Usage        bool
	promptTokens int64
	model        string
	created      int64
}

// ParseChunk reads one event's data, or a whole answer that is not streamed.
func ParseChunk(data []byte) (Chunk, error) {
	if !gjson.ValidBytes(data) {
		return Chunk{}, ErrNotJSON
	}
	chunk := Chunk{}
	choice := false
	usage := false
	// One pass over the fields costs less than a search for each.
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

// readChoice takes in the first choice and reports whether there is one.
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

// Belongs reports whether the chunk is of the request.
func (c Chunk) Belongs(id ID) bool {
	return strings.HasSuffix(c.ID, string(id))
}

// finishLength is the finish reason of an answer that has all the tokens it may have.
const finishLength = "length"

// BeginAttempt begins a further attempt at an answer of the shape. An answer that broke off after its last token
// is finished; the attempt then only tells its usage.
func (p *Progress) BeginAttempt(shape Shape) {
	if p.Finish == "" && shape.Tokens > 0 && p.Tokens >= shape.Tokens {
		p.Finish = finishLength
		p.added = true
	}
	p.resumed = p.Tokens
	p.ended = p.Finish != ""
}

// UsageKnown reports whether an endpoint told how long the prompt is.
func (p *Progress) UsageKnown() bool {
	return p.prompt > 0
}

// TakeAddedFinish reports, once, whether the answer was finished without an endpoint's finish reason.
func (p *Progress) TakeAddedFinish() bool {
	added := p.added
	p.added = false
	return added
}

// Add takes a chunk in and reports whether it belongs to the answer.
func (p *Progress) Add(chunk Chunk) bool {
	if p.ended && !chunk.Usage {
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
	if chunk.Usage && p.prompt == 0 {
		p.prompt = max(1, chunk.promptTokens-int64(p.resumed))
	}
	return true
}

// Text returns the text that has arrived.
func (p *Progress) Text() string {
	return p.text.String()
}

// Saved is a progress as it is kept between attempts of a batch item.
type Saved struct {
	Tokens int
	Text   string
}

// Save returns what is needed to resume.
func (p *Progress) Save() Saved {
	return Saved{
		Tokens: p.Tokens,
		Text:   p.Text(),
	}
}

// Resume returns a progress that begins with what was saved.
func Resume(saved Saved) *Progress {
	progress := &Progress{
		Tokens:  saved.Tokens,
		resumed: saved.Tokens,
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
		PromptTokens:     p.prompt,
		CompletionTokens: int64(p.Tokens),
		TotalTokens:      p.prompt + int64(p.Tokens),
	}
}

// WholeBody returns the finished answer as one body.
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
		return nil, bodyError(err)
	}
	return data, nil
}

// UsageEvent returns the usage event with the totals over all attempts.
func (p *Progress) UsageEvent(data []byte) ([]byte, error) {
	event, err := sjson.SetBytes(data, "usage", p.usage())
	if err != nil {
		return nil, bodyError(err)
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
		return nil, bodyError(err)
	}
	return data, nil
}
