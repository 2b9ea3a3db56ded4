package call_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed":   "20261204",
		"rapid.checks": "2000",
		"rapid.steps":  "40",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// openClaim is a claim that was granted and is neither finished, released nor abandoned.
type openClaim struct {
	claim *call.Claim
	key   string
	// ran is set when the call has run. No check reads it.
	ran bool
}

// world is the state of TestNoCallRunsTwice. It counts the runs of each key and records their answers.
type world struct {
	table    *table
	network  *network
	open     []*openClaim
	runs     map[string]int
	answers  map[string]string
	attempts int
}

func (w *world) begin(t *rapid.T) {
	at := address(rapid.IntRange(0, 2).Draw(t, "gateway"))
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	w.table.setOutcomes(rapid.SliceOfN(rapid.SampledFrom([]outcome{outcomeApplied, outcomeAnswerLost, outcomeWriteLost, outcomeDelayed, outcomeUnavailable}), 0, 3).Draw(t, "fates")...)
	w.attempts++
	claim, answer, err := w.network.gateways[at].Begin(t.Context(), name(key), document.HashOf(key), request.ID(strconv.Itoa(w.attempts)))
	w.table.setOutcomes()
	switch {
	case claim != nil:
		w.open = append(w.open, &openClaim{
			claim: claim,
			key:   key,
		})
	case answer != nil:
		if string(answer.Body) != w.answers[key] {
			t.Fatalf("answer of key %s: got %q, want %q", key, answer.Body, w.answers[key])
		}
	case err == nil:
		t.Fatal("neither claim nor answer nor error")
	}
}

func (w *world) take(t *rapid.T) *openClaim {
	if len(w.open) == 0 {
		t.Skip("no open claims")
	}
	i := rapid.IntRange(0, len(w.open)-1).Draw(t, "open")
	taken := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	return taken
}

func (w *world) run(t *rapid.T, taken *openClaim) {
	w.runs[taken.key]++
	taken.ran = true
	if w.runs[taken.key] > 1 {
		t.Fatalf("key %s ran %d times", taken.key, w.runs[taken.key])
	}
}

func (w *world) finish(t *rapid.T) {
	taken := w.take(t)
	w.run(t, taken)
	w.answers[taken.key] = fmt.Sprintf("answer %d of %s", w.attempts, taken.key)
	w.table.setOutcomes(rapid.SliceOfN(rapid.SampledFrom([]outcome{outcomeApplied, outcomeAnswerLost, outcomeWriteLost, outcomeDelayed, outcomeUnavailable}), 0, 2).Draw(t, "fates")...)
	taken.claim.Finish(t.Context(), call.Answer{
		Status: 200,
		Body:   []byte(w.answers[taken.key]),
	})
	w.table.setOutcomes()
}

func (w *world) abandon(t *rapid.T) {
	taken := w.take(t)
	w.run(t, taken)
	taken.claim.Abandon()
}

func (w *world) release(t *rapid.T) {
	taken := w.take(t)
	w.table.setOutcomes(rapid.SliceOfN(rapid.SampledFrom([]outcome{outcomeApplied, outcomeAnswerLost, outcomeWriteLost, outcomeDelayed, outcomeUnavailable}), 0, 1).Draw(t, "fates")...)
	taken.claim.Release(t.Context())
	w.table.setOutcomes()
}

// restart restarts a gateway. The open claims of the old instance may still run, like those of a paused process.
func (w *world) restart(t *rapid.T) {
	w.network.start(w.table, address(rapid.IntRange(0, 2).Draw(t, "gateway")))
}

func (w *world) toggleCut(t *rapid.T) {
	at := address(rapid.IntRange(0, 2).Draw(t, "gateway"))
	w.network.cut[at] = !w.network.cut[at]
}

// noDeadline hides the test's deadline from rapid. The deadline is a time of the real clock, which can't be compared
// with the fake clock of the synctest bubble.
type noDeadline struct {
	rapid.TB
}

// TestNoCallRunsTwice makes gateways begin, end and lose calls at random while writes are lost, delayed and refused.
func TestNoCallRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{TB: t}, func(t *rapid.T) {
			store := newTable()
			w := &world{
				table:   store,
				network: newNetwork(store, 3),
				runs:    map[string]int{},
				answers: map[string]string{},
			}
			// The action "begin" has two entries, so that it is drawn twice as often as each other one. "lose" restarts
			// a gateway, and "land" applies a delayed write.
			t.Repeat(map[string]func(*rapid.T){
				"begin":   w.begin,
				"begin 2": w.begin,
				"finish":  w.finish,
				"abandon": w.abandon,
				"release": w.release,
				"lose":    w.restart,
				"cut":     w.toggleCut,
				"land":    func(*rapid.T) { store.applyDelayed() },
			})
		})
	})
}

// TestCallTakesTwoWrites checks that a call takes two writes. A resend takes one, which fails with a conflict.
func TestCallTakesTwoWrites(t *testing.T) {
	store := newTable()
	calls := newNetwork(store, 1).gateways[address(0)]
	claim, _, err := calls.Begin(t.Context(), name("key"), document.HashOf("request"), "1")
	assert.NilError(t, err)
	claim.Finish(t.Context(), call.Answer{
		Body: []byte("seat 4"),
	})
	assert.Equal(t, store.count(), 2)
	_, answer, err := calls.Begin(t.Context(), name("key"), document.HashOf("request"), "2")
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), "seat 4")
	assert.Equal(t, store.count(), 3)
}

// TestResend resends a key after each possible outcome of the first request.
func TestResend(t *testing.T) {
	cases := map[string]struct {
		end     func(t *testing.T, n *network, claim *call.Claim)
		hash    document.Hash
		answer  string
		wantErr error
	}{
		"answered": {
			end: func(t *testing.T, _ *network, claim *call.Claim) {
				claim.Finish(t.Context(), call.Answer{
					Body: []byte("seat 4"),
				})
			},
			answer: "seat 4",
		},
		"large answer": {
			end: func(t *testing.T, _ *network, claim *call.Claim) {
				claim.Finish(t.Context(), call.Answer{
					Body: []byte(strings.Repeat("x", 1<<20)),
				})
			},
			answer: strings.Repeat("x", 1<<20),
		},
		"running": {
			wantErr: call.ErrInProgress,
		},
		"running, cut off": {
			end:     func(_ *testing.T, n *network, _ *call.Claim) { n.cut[address(0)] = true },
			wantErr: call.ErrOutcomeUnknown,
		},
		"abandoned": {
			end:     func(_ *testing.T, _ *network, claim *call.Claim) { claim.Abandon() },
			wantErr: call.ErrOutcomeUnknown,
		},
		"gateway gone": {
			end:     func(_ *testing.T, n *network, _ *call.Claim) { delete(n.gateways, address(0)) },
			wantErr: call.ErrOutcomeUnknown,
		},
		"released": {
			end: func(t *testing.T, _ *network, claim *call.Claim) { claim.Release(t.Context()) },
		},
		"another request": {hash: document.HashOf("another"), wantErr: call.ErrKeyReused},
		"another, released": {
			end:  func(t *testing.T, _ *network, claim *call.Claim) { claim.Release(t.Context()) },
			hash: document.HashOf("another"),
		},
	}
	for title, tt := range cases {
		t.Run(title, func(t *testing.T) {
			store := newTable()
			n := newNetwork(store, 2)
			claim, _, err := n.gateways[address(0)].Begin(t.Context(), name("key"), document.HashOf("request"), "1")
			assert.NilError(t, err)
			if tt.end != nil {
				tt.end(t, n, claim)
			}
			hash := tt.hash
			if hash == "" {
				hash = document.HashOf("request")
			}
			again, answer, err := n.gateways[address(1)].Begin(t.Context(), name("key"), hash, "2")
			assert.ErrorIs(t, err, tt.wantErr)
			assert.Equal(t, again != nil, tt.wantErr == nil && tt.answer == "")
			if tt.answer != "" {
				assert.Equal(t, string(answer.Body), tt.answer)
			}
		})
	}
}

// TestAnswerIsStoredAfterAnOutage checks that Finish returns after 2 s while the platform is down, and that the answer
// is stored once the platform is back.
func TestAnswerIsStoredAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTable()
		n := newNetwork(store, 2)
		claim, _, err := n.gateways[address(0)].Begin(t.Context(), name("key"), document.HashOf("request"), "1")
		assert.NilError(t, err)
		outage := make([]outcome, 20)
		for i := range outage {
			outage[i] = outcomeUnavailable
		}
		store.setOutcomes(outage...)
		began := time.Now()
		claim.Finish(t.Context(), call.Answer{
			Body: []byte("seat 4"),
		})
		assert.Equal(t, time.Since(began), 2*time.Second)
		var reply call.Reply
		assert.NilError(t, call.NewService(n.gateways[address(0)]).State(call.Query{
			Attempt: "1",
		}, &reply))
		assert.Equal(t, reply.State, call.StateRunning)
		n.gateways[address(0)].Wait(t.Context())
		_, answer, err := n.gateways[address(1)].Begin(t.Context(), name("key"), document.HashOf("request"), "2")
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), "seat 4")
	})
}
