package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
)

// newOnlineCluster starts a cluster with gateways only. Its token time-outs are short, so that stalled engines are
// detected quickly.
func newOnlineCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	options.roles = []fleet.Role{fleet.RoleGateway}
	options.engine.TokenInterval = min(options.engine.TokenInterval, 2*time.Millisecond)
	customise := options.customiseSettings
	options.customiseSettings = func(s *settings.Settings) {
		s.Timing.FirstToken = settings.Duration(time.Second)
		s.Timing.Token = settings.Duration(500 * time.Millisecond)
		if customise != nil {
			customise(s)
		}
	}
	return newCluster(t, options)
}

// shareMisbehaviours makes all engines share their misbehaviours, so that they apply to the next requests at any
// engine.
func (c *cluster) shareMisbehaviours() *standin.Misbehaviours {
	shared := &standin.Misbehaviours{}
	for _, engine := range c.engines {
		engine.Misbehaviours = shared
	}
	return shared
}

// post sends a body to a gateway and returns the response and its body. The error may be that of reading the body.
func (c *cluster) post(ctx context.Context, vm int, path, body string, header map[string]string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.gatewayURL(vm)+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// completion is a variant of a completion request: chat or text, streamed or not, with or without usage in the stream.
type completion struct {
	chat   bool
	stream bool
	usage  bool
}

// answerTokens is the number of tokens that a completion asks for.
const answerTokens = 12

func (p completion) path() string {
	if p.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (p completion) body(question string) string {
	prompt := fmt.Sprintf(`"prompt":%q`, question)
	if p.chat {
		prompt = fmt.Sprintf(`"messages":[{"role":"user","content":%q}]`, question)
	}
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":%t},%s}`, testModel, answerTokens, p.stream, p.usage, prompt)
}

func (p completion) wantText(question string) string {
	if p.chat {
		return standin.Answer(question, answerTokens)
	}
	return standin.TextAnswer(question, answerTokens)
}

// parsedAnswer is the content of an answer's body.
type parsedAnswer struct {
	text         string
	finishReason string
	// complete reports whether a stream ended with its end marker. It is true for all other answers.
	complete         bool
	completionTokens int64
	promptTokens     int64
}

func (p completion) parse(body string) parsedAnswer {
	if !p.stream {
		choice := gjson.Get(body, "choices.0")
		return parsedAnswer{
			text:             choice.Get("message.content").String() + choice.Get("text").String(),
			finishReason:     choice.Get("finish_reason").String(),
			complete:         true,
			completionTokens: gjson.Get(body, "usage.completion_tokens").Int(),
			promptTokens:     gjson.Get(body, "usage.prompt_tokens").Int(),
		}
	}
	var got parsedAnswer
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			got.complete = true
			continue
		}
		choice := gjson.Get(data, "choices.0")
		got.text += choice.Get("delta.content").String() + choice.Get("text").String()
		got.finishReason += choice.Get("finish_reason").String()
		got.completionTokens += gjson.Get(data, "usage.completion_tokens").Int()
		got.promptTokens += gjson.Get(data, "usage.prompt_tokens").Int()
	}
	return got
}

var completions = map[string]completion{
	"chat streamed": {
		chat:   true,
		stream: true,
	},
	"chat streamed with usage": {
		chat:   true,
		stream: true,
		usage:  true,
	},
	"chat whole": {
		chat: true,
	},
	"text streamed": {
		stream: true,
	},
	"text whole": {},
}

// TestBrokenAnswerIsMadeWhole lets an engine fail at different points of an answer. The caller must still get the
// complete answer.
func TestBrokenAnswerIsMadeWhole(t *testing.T) {
	t.Parallel()
	options := defaultCluster(50)
	options.vms = 1
	options.engines = 3
	c := newOnlineCluster(t, options)
	shared := c.shareMisbehaviours()
	cases := map[string]standin.Misbehaviour{
		"dropped at once": {
			Kind: standin.MisbehaviourDrop,
		},
		"dropped after five tokens": {
			Kind:   standin.MisbehaviourDrop,
			Tokens: 5,
		},
		"dropped after the last token": {
			Kind:   standin.MisbehaviourDrop,
			Tokens: answerTokens,
		},
		"ended empty": {
			Kind: standin.MisbehaviourTruncate,
		},
		"ended after five tokens": {
			Kind:   standin.MisbehaviourTruncate,
			Tokens: 5,
		},
		"ended without finish reason": {
			Kind:   standin.MisbehaviourTruncate,
			Tokens: answerTokens,
		},
		"stalled at once": {
			Kind: standin.MisbehaviourStall,
		},
		"stalled after five tokens": {
			Kind:   standin.MisbehaviourStall,
			Tokens: 5,
		},
		"crossed at once": {
			Kind: standin.MisbehaviourCrossed,
		},
		"crossed after five tokens": {
			Kind:   standin.MisbehaviourCrossed,
			Tokens: 5,
		},
		"ended with marker alone": {
			Kind:   standin.MisbehaviourNoFinish,
			Tokens: 5,
		},
		"dropped before the end marker": {
			Kind:   standin.MisbehaviourNoMarker,
			Tokens: -1,
		},
		"crossed before the finish event": {
			Kind:   standin.MisbehaviourCrossed,
			Tokens: answerTokens,
		},
	}
	for name, misbehaviour := range cases {
		for variantName, variant := range completions {
			t.Run(name+" "+variantName, func(t *testing.T) {
				misbehaviour.Times = 2
				if misbehaviour.Kind == standin.MisbehaviourStall {
					misbehaviour.Times = 1
				}
				shared.Set(misbehaviour)
				question := "Is it whole, " + name + " " + variantName + "?"
				response, body, err := c.post(t.Context(), 0, variant.path(), variant.body(question), nil)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
				got := variant.parse(body)
				assert.Equal(t, got.text, variant.wantText(question))
				assert.Equal(t, got.finishReason, "length")
				assert.Assert(t, got.complete)
				if variant.usage || !variant.stream {
					assert.Equal(t, got.completionTokens, int64(answerTokens))
					assert.Equal(t, got.promptTokens, int64(len(strings.Fields(question))+templateWords(variant)))
				}
			})
		}
	}
}

// TestMissingEndMarkerAloneLosesNothing cuts every answer off between its finish reason and its end marker. The answer
// is complete by then, so that the caller must get it.
func TestMissingEndMarkerAloneLosesNothing(t *testing.T) {
	t.Parallel()
	options := defaultCluster(54)
	options.vms = 1
	options.engines = 1
	c := newOnlineCluster(t, options)
	c.shareMisbehaviours().Set(standin.Misbehaviour{
		Kind:   standin.MisbehaviourNoMarker,
		Tokens: -1,
		Times:  100,
	})
	for _, variantName := range []string{"chat streamed", "text streamed"} {
		variant := completions[variantName]
		_, body, err := c.post(t.Context(), 0, variant.path(), variant.body("Is it whole?"), nil)
		assert.NilError(t, err)
		got := variant.parse(body)
		assert.Equal(t, got.text, variant.wantText("Is it whole?"))
		assert.Equal(t, got.finishReason, "length")
		assert.Assert(t, got.complete)
	}
}

// templateWords returns the number of words that the engine's chat template adds to a question.
func templateWords(variant completion) int {
	if variant.chat {
		return 1
	}
	return 0
}

// TestAnswerThatCanNotBeMadeWholeNeverLooksWhole lets every engine fail every time. A stream must then break off
// without its end marker, and other requests must get an error.
func TestAnswerThatCanNotBeMadeWholeNeverLooksWhole(t *testing.T) {
	t.Parallel()
	options := defaultCluster(51)
	options.vms = 1
	options.engines = 2
	c := newOnlineCluster(t, options)
	shared := c.shareMisbehaviours()
	for _, kind := range []standin.MisbehaviourKind{standin.MisbehaviourDrop, standin.MisbehaviourTruncate, standin.MisbehaviourStall, standin.MisbehaviourCrossed, standin.MisbehaviourNoFinish} {
		for variantName, variant := range completions {
			t.Run(string(kind)+" "+variantName, func(t *testing.T) {
				shared.Set(standin.Misbehaviour{
					Kind:   kind,
					Tokens: 3,
					Times:  100,
				})
				response, body, err := c.post(t.Context(), 0, variant.path(), variant.body("Is it broken?"), nil)
				if variant.stream {
					assert.Assert(t, err != nil, "the body ended cleanly: %s", body)
					assert.Assert(t, !variant.parse(body).complete)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, body)
				assert.Equal(t, response.Header.Get("Rhubarbrudder-Outcome"), "unknown")
				assert.Equal(t, gjson.Get(body, "error.code").String(), "answer_broken")
			})
		}
	}
}

// TestCallerGoneCancelsAtTheEndpoint cancels a request in the middle of its answer. The engine's run must then be
// cancelled as well.
func TestCallerGoneCancelsAtTheEndpoint(t *testing.T) {
	t.Parallel()
	options := defaultCluster(52)
	options.vms = 1
	options.engines = 1
	c := newOnlineCluster(t, options)
	for variantName, variant := range completions {
		t.Run(variantName, func(t *testing.T) {
			before := len(c.engines[0].Record.Runs())
			ctx, cancel := context.WithCancel(t.Context())
			requestErr := make(chan error, 1)
			body := strings.Replace(variant.body("Will it stop?"), fmt.Sprintf(`"max_tokens":%d`, answerTokens), `"max_tokens":100000`, 1)
			go func() {
				_, _, err := c.post(ctx, 0, variant.path(), body, nil)
				requestErr <- err
			}()
			waitFor(t, "tokens", readyTimeout, func() bool {
				runs := c.engines[0].Record.Runs()
				return len(runs) > before && runs[before].Tokens > 2
			})
			cancel()
			assert.ErrorIs(t, <-requestErr, context.Canceled)
			waitFor(t, "the run to be cancelled", readyTimeout, func() bool {
				return c.engines[0].Record.Runs()[before].Cancelled
			})
		})
	}
}

// TestKilledEngineLosesNoAnswer closes an engine's listener and connections while answers stream from it.
func TestKilledEngineLosesNoAnswer(t *testing.T) {
	t.Parallel()
	const requests = 24
	options := defaultCluster(53)
	options.vms = 2
	options.engines = 3
	options.engine.Slots = requests
	c := newOnlineCluster(t, options)
	type outcome struct {
		variant  completion
		question string
		body     string
		err      error
	}
	outcomes := make(chan outcome, requests*len(completions))
	for variantName, variant := range completions {
		for i := range requests {
			go func() {
				question := fmt.Sprintf("%s question %d", variantName, i)
				_, body, err := c.post(t.Context(), i%2, variant.path(), variant.body(question), nil)
				outcomes <- outcome{
					variant:  variant,
					question: question,
					body:     body,
					err:      err,
				}
			}()
		}
	}
	waitFor(t, "tokens of the engine to be killed", readyTimeout, func() bool {
		for _, run := range c.engines[0].Record.Runs() {
			if run.Tokens > 1 && !run.Finished {
				return true
			}
		}
		return false
	})
	assert.NilError(t, c.servers[c.address(101, 8000)].Close())
	for range cap(outcomes) {
		result := <-outcomes
		assert.NilError(t, result.err)
		assert.Equal(t, result.variant.parse(result.body).text, result.variant.wantText(result.question), result.body)
	}
}
