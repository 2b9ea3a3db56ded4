package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// generation is the processing of one admitted request by an engine.
type generation struct {
	request completionRequest
	prompt  string
	// resumedTokens is the number of tokens of the answer that the request already contains.
	resumedTokens int
	run           *Run
	chat          bool
	id            string
	misbehaviour  Misbehaviour
}

// crashTokens is the number of tokens after which the engine drops the connection for a prompt with CrashMark.
const crashTokens = 2

// slowFactor multiplies the token interval of a prompt with SlowMark.
const slowFactor = 10

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, g *generation) {
	words := len(strings.Fields(g.prompt)) + g.resumedTokens
	cached := e.cache.lookupAndStore(g.prompt)
	if !sleep(r.Context(), time.Duration(words-min(words, cached))*e.options.PrefillPerWord) {
		return
	}
	out := &answerWriter{
		w:          w,
		generation: g,
	}
	for i := range g.request.tokens() {
		if !g.continueAfter(w, r, i) {
			return
		}
		if !sleep(r.Context(), e.tokenInterval(g.prompt)) {
			return
		}
		if strings.Contains(g.prompt, CrashMark) && i == crashTokens {
			dropConnection()
		}
		g.run.countToken()
		out.writeToken(Token(g.prompt, g.resumedTokens+i), i)
	}
	if !g.continueAfter(w, r, g.request.tokens()) {
		return
	}
	out.writeEnd(g.request.tokens())
	g.run.markFinished()
}

func (e *Engine) tokenInterval(prompt string) time.Duration {
	running, _ := e.slots.counts()
	share := float64(running) / float64(e.options.Slots)
	interval := time.Duration(float64(e.options.TokenInterval) * (1 + e.options.FullBatchSlowdown*share))
	if strings.Contains(prompt, SlowMark) {
		interval *= slowFactor
	}
	return interval
}

// answerWriter writes an answer as a single body or as a stream of events.
type answerWriter struct {
	w          http.ResponseWriter
	generation *generation
	text       strings.Builder
}

func (a *answerWriter) writeToken(token string, index int) {
	if index == 0 && !a.generation.chat && a.generation.resumedTokens == 0 {
		token = answerPrefix + token
	}
	a.text.WriteString(token)
	if !a.generation.request.Stream {
		return
	}
	if index == 0 {
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	a.writeEvent(token, "")
}

func (a *answerWriter) writeEvent(token, finishReason string) {
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", a.chunk(token, finishReason))
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (a *answerWriter) chunk(token, finishReason string) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finishReason != "" {
		choice["finish_reason"] = finishReason
	}
	object := "text_completion"
	if a.generation.chat {
		object = "chat.completion.chunk"
		delta := map[string]any{}
		if token != "" {
			delta["content"] = token
		}
		choice["delta"] = delta
	} else {
		choice["text"] = token
	}
	data, err := json.Marshal(a.body(object, choice))
	if err != nil {
		panic(err)
	}
	return data
}

func (a *answerWriter) body(object string, choice map[string]any) map[string]any {
	prefix := "cmpl-"
	if a.generation.chat {
		prefix = "chatcmpl-"
	}
	return map[string]any{
		"id":      prefix + a.generation.id,
		"object":  object,
		"created": time.Now().Unix(),
		"model":   a.generation.request.Model,
		"choices": []any{choice},
	}
}

func (a *answerWriter) writeEnd(tokens int) {
	prompt := len(strings.Fields(a.generation.prompt)) + a.generation.resumedTokens
	usage := map[string]any{
		"prompt_tokens":     prompt,
		"completion_tokens": tokens,
		"total_tokens":      prompt + tokens,
	}
	if a.generation.request.Stream {
		a.writeEvent("", "length")
		if a.generation.misbehaviour.Kind == MisbehaviourNoMarker {
			dropConnection()
		}
		final := a.body("chat.completion.chunk", nil)
		final["choices"] = []any{}
		final["usage"] = usage
		data, err := json.Marshal(final)
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(a.w, "data: %s\n\ndata: [DONE]\n\n", data)
		return
	}
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if a.generation.chat {
		object = "chat.completion"
		choice["message"] = map[string]any{"role": "assistant", "content": a.text.String()}
	} else {
		choice["text"] = a.text.String()
	}
	body := a.body(object, choice)
	body["usage"] = usage
	writeJSON(a.w, http.StatusOK, body)
}
