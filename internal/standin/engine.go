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

// EngineOptions configures a model engine.
type EngineOptions struct {
	// Slots is the number of requests that decode at the same time; further ones wait in order of arrival.
	Slots int
	// TokenInterval is the time a token takes in an empty batch.
	TokenInterval time.Duration
	// FullBatchSlowdown is how much longer a token takes in a full batch, as a fraction of TokenInterval.
	FullBatchSlowdown float64
	// PrefillPerWord is the prefill time of each word of the prompt that is not in the prefix cache.
	PrefillPerWord time.Duration
	// CachePrefixes is the capacity of the prefix cache in prefixes.
	CachePrefixes int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse an order whose fencing token is older than the latest one.
	ChecksFence bool
	// LoadTime is the time that the engine takes to load another model or version.
	LoadTime time.Duration
	// Models holds the names of the models served at the start.
	Models []string
}

// Engine is a stand-in for a model engine. It implements OpenAI's protocol with vLLM's extensions for resuming answers.
type Engine struct {
	options       EngineOptions
	slots         *slots
	cache         *prefixCache
	Record        *Record
	Misbehaviours *Misbehaviours
	mu            sync.Mutex
	// loads holds samples of the load, the oldest of which is reported.
	loads  []loadSample
	events *cacheEvents
	orders orderState
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

// text returns the message's content as text: a string unchanged, content parts as their JSON.
func (m completionMessage) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

// defaultTokens is the length of an answer if the request does not specify one.
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

// splitPrompt returns the prompt and the number of the answer's tokens that the request already contains.
func (r completionRequest) splitPrompt() (string, int) {
	if len(r.Messages) == 0 {
		prompt, answer, _ := strings.Cut(r.Prompt, answerPrefix)
		return prompt, strings.Count(answer, " ")
	}
	messages := r.Messages
	resumed := 0
	if r.ContinueFinalMessage {
		resumed = len(strings.Fields(messages[len(messages)-1].text()))
		messages = messages[:len(messages)-1]
	}
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.text() + "\n")
	}
	return prompt.String(), resumed
}

// answerPrefix begins each answer to a text completion, so that the prompt and the partial answer of a resumed request
// can be told apart.
const answerPrefix = " >>"

// Token returns the answer's token at the index; an answer depends only on its prompt.
func Token(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s/%d", prompt, index)
	return fmt.Sprintf("w%04x ", hash.Sum32()&0xffff)
}

// TextAnswer returns the complete answer of the given number of tokens to a text completion.
func TextAnswer(prompt string, tokens int) string {
	var answer strings.Builder
	answer.WriteString(answerPrefix)
	for i := range tokens {
		answer.WriteString(Token(prompt, i))
	}
	return answer.String()
}

// Answer returns the complete answer of the given number of tokens to a chat with one user message.
func Answer(content string, tokens int) string {
	var answer strings.Builder
	for i := range tokens {
		answer.WriteString(Token("user: "+content+"\n", i))
	}
	return answer.String()
}

const (
	// InvalidPromptMark in a prompt makes the engine refuse the request permanently, with status 422.
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
	prompt, resumed := in.splitPrompt()
	if strings.Contains(prompt, InvalidPromptMark) {
		writeJSON(w, http.StatusUnprocessableEntity, engineError("invalid_prompt", "the prompt can not be served"))
		return
	}
	run := e.Record.start(r, resumed)
	defer run.end(r)
	if !e.slots.acquire(r.Context()) {
		return
	}
	defer e.slots.release()
	run.markAdmitted()
	e.generate(w, r, &generation{
		request:       in,
		prompt:        prompt,
		resumedTokens: resumed,
		run:           run,
		chat:          strings.HasSuffix(r.URL.Path, "/chat/completions"),
		id:            r.Header.Get(endpoint.HeaderRequestID),
		misbehaviour:  e.Misbehaviours.take(),
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

// serveLoad reports the load as it was LoadLag ago.
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

// sleep waits and reports whether ctx is still active afterwards.
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
