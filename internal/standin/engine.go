package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/endpoint"
)

// EngineOptions describes a model engine.
type EngineOptions struct {
	// Slots is how many requests decode at once; further ones wait in order of arrival.
	Slots int
	// TokenInterval is the time a token takes in an empty batch.
	TokenInterval time.Duration
	// FullBatchSlowdown is how much longer a token takes in a full batch, as a share.
	FullBatchSlowdown float64
	// PrefillPerWord is the time a word of the prompt takes that is not in the prefix cache.
	PrefillPerWord time.Duration
	// CachePrefixes is how many prompt prefixes are kept.
	CachePrefixes int
	// LoadLag is how old a reported load is.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse an order with an old fencing number.
	ChecksFence bool
	// LoadTime is how long an engine takes to load another model or version.
	LoadTime time.Duration
	// Models are the names served at the start.
	Models []string
}

// Engine plays a model engine with OpenAI's protocol and vLLM's extensions for resuming.
type Engine struct {
	options       EngineOptions
	slots         *slots
	cache         *prefixCache
	Record        *Record
	Misbehaviours *Misbehaviours
	mu            sync.Mutex
	loads         []loadSample
	events        *cacheEvents
	orders        orderState
}

type loadSample struct {
	at   time.Time
	load endpoint.Load
}

// NewEngine returns an idle engine.
func NewEngine(options EngineOptions) *Engine {
	events := newCacheEvents()
	return &Engine{
		options:       options,
		slots:         newSlots(options.Slots),
		cache:         newPrefixCache(options.CachePrefixes, events),
		Record:        NewRecord(),
		Misbehaviours: &Misbehaviours{},
		events:        events,
		orders:        newOrderState(options.Models),
	}
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.events.serve)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders", e.serveOrderState)
	mux.Handle("GET /record", e.Record)
	return mux
}

type completionRequest struct {
	Model                string              `json:"model"`
	Prompt               string              `json:"prompt"`
	Messages             []completionMessage `json:"messages"`
	MaxTokens            int                 `json:"max_tokens"`
	MaxCompletionTokens  int                 `json:"max_completion_tokens"`
	Stream               bool                `json:"stream"`
	ContinueFinalMessage bool                `json:"continue_final_message"`
}

type completionMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the message's content as text: a string as it is, parts as their JSON.
func (m completionMessage) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// defaultTokens is the length of an answer when the request names none.
const defaultTokens = 16

func (r completionRequest) tokens() int {
	switch {
	case r.MaxTokens > 0:
		return r.MaxTokens
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	}
	return defaultTokens
}

// split returns the prompt and how many of its answer's tokens the request already carries.
func (r completionRequest) split() (string, int) {
	if len(r.Messages) == 0 {
		prompt, answered, _ := strings.Cut(r.Prompt, answerMark)
		return prompt, strings.Count(answered, " ")
	}
	messages := r.Messages
	done := 0
	if r.ContinueFinalMessage {
		done = len(strings.Fields(messages[len(messages)-1].text()))
		messages = messages[:len(messages)-1]
	}
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.text() + "\n")
	}
	return prompt.String(), done
}

// answerMark begins each answer to a text completion, so that a resumed prompt can be split.
const answerMark = " >>"

// Token returns the answer's token at the index; an answer depends on nothing but its prompt.
func Token(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s/%d", prompt, index)
	return fmt.Sprintf("w%04x ", hash.Sum32()&0xffff)
}

// TextAnswer returns the whole answer of the given number of tokens to a text completion.
func TextAnswer(prompt string, tokens int) string {
	var answer strings.Builder
	answer.WriteString(answerMark)
	for i := range tokens {
		answer.WriteString(Token(prompt, i))
	}
	return answer.String()
}

// Answer returns the whole answer of the given number of tokens to a chat with one user message.
func Answer(content string, tokens int) string {
	var answer strings.Builder
	for i := range tokens {
		answer.WriteString(Token("user: "+content+"\n", i))
	}
	return answer.String()
}

const (
	// InvalidPromptMark in a prompt makes the engine refuse it for good.
	InvalidPromptMark = "[never]"
	// CrashMark in a prompt makes the engine drop the connection after a few tokens.
	CrashMark = "[crash]"
	// SlowMark in a prompt makes each token take ten times as long.
	SlowMark = "[slow]"
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var in completionRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, engineError("invalid_request_error", err.Error()))
		return
	}
	if !e.orders.serves(in.Model) {
		writeJSON(w, http.StatusNotFound, engineError("model_not_found", in.Model))
		return
	}
	prompt, done := in.split()
	if strings.Contains(prompt, InvalidPromptMark) {
		writeJSON(w, http.StatusUnprocessableEntity, engineError("invalid_prompt", "the prompt can not be served"))
		return
	}
	run := e.Record.start(r, done)
	defer run.end(r)
	if !e.slots.enter(r.Context()) {
		return
	}
	defer e.slots.leave()
	run.admitted()
	e.generate(w, r, &generation{
		request:      in,
		prompt:       prompt,
		done:         done,
		run:          run,
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		id:           r.Header.Get(endpoint.HeaderRequestID),
		misbehaviour: e.Misbehaviours.take(),
	})
}

func engineError(kind, message string) any {
	return map[string]any{"error": map[string]any{"type": kind, "code": kind, "message": message}}
}

func (e *Engine) serveModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	var models []model
	for _, name := range e.orders.names() {
		models = append(models, model{
			ID:     name,
			Object: "model",
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}

// serveLoad reports the load as it was a lag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.laggingLoad())
}

func (e *Engine) laggingLoad() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	running, waiting := e.slots.counts()
	e.loads = append(e.loads, loadSample{
		at: now,
		load: endpoint.Load{
			Running: running,
			Waiting: waiting,
			Slots:   e.options.Slots,
		},
	})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.options.LoadLag {
		e.loads = e.loads[1:]
	}
	load := e.loads[0].load
	load.AgeMilliseconds = now.Sub(e.loads[0].at).Milliseconds()
	return load
}

// sleep waits, and reports whether the caller is still there.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
