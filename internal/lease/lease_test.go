package lease

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/tablestore"
)

const testTerm = 6 * time.Second

// fakeTable is an in-memory table of sessions.
type fakeTable struct {
	rows map[string]tablestore.Row
	// down makes every read and write fail.
	down bool
	// loseAnswers is how many of the next writes are applied but report an unknown outcome.
	loseAnswers int
}

func (f *fakeTable) All(context.Context, string) ([]tablestore.Row, error) {
	if f.down {
		return nil, tablestore.ErrUnavailable
	}
	rows := make([]tablestore.Row, 0, len(f.rows))
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn tablestore.Txn) error {
	if f.down {
		return tablestore.ErrUnavailable
	}
	write := txn.Writes[0]
	if f.rows[write.Key.Sort].Version != write.Version {
		return tablestore.ErrConflict
	}
	f.rows[write.Key.Sort] = tablestore.Row{
		Key:     write.Key,
		Version: write.Version + 1,
		Data:    write.Data,
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return tablestore.ErrUnknown
	}
	return nil
}

// pair is the holder of a session and a peer that watches it.
type pair struct {
	table  *fakeTable
	holder *Sessions
	peer   *Sessions
	// lost counts how often the holder has detected the loss of its session.
	lost int
}

func newPair() *pair {
	p := &pair{
		table: &fakeTable{
			rows: map[string]tablestore.Row{},
		},
	}
	one := func() int { return 1 }
	p.holder = New(p.table, "vm-0", testTerm, one, slog.New(slog.DiscardHandler))
	p.peer = New(p.table, "vm-1", testTerm, one, slog.New(slog.DiscardHandler))
	p.holder.OnLost(func(SessionID) { p.lost++ })
	p.step(true, time.Second)
	return p
}

// step advances the pair second by second for the duration. The holder is frozen unless holderRuns is set.
func (p *pair) step(holderRuns bool, duration time.Duration) {
	for range int(duration / time.Second) {
		if holderRuns {
			p.holder.step(context.Background())
		}
		p.peer.step(context.Background())
		time.Sleep(time.Second)
	}
}

func TestSessionIsTakenOverOnlyAfterItsTerm(t *testing.T) {
	cases := map[string]struct {
		act  func(p *pair)
		free bool
		lost int
	}{
		"a holder that renews keeps its session": {
			act: func(p *pair) { p.step(true, 5*testTerm) },
		},
		"a holder that is silent for less than the term keeps its session": {
			act: func(p *pair) { p.step(false, testTerm-time.Second) },
		},
		"a holder that is silent for the term loses its session": {
			act:  func(p *pair) { p.step(false, testTerm+2*time.Second) },
			free: true,
		},
		"a frozen holder detects that it lost its session": {
			act: func(p *pair) {
				p.step(false, testTerm+2*time.Second)
				p.holder.step(context.Background())
			},
			free: true,
			lost: 1,
		},
		"lost answers to renewals do not end the session": {
			act: func(p *pair) {
				for range 5 {
					p.table.loseAnswers = 1
					p.step(true, 3*time.Second)
				}
			},
		},
		"an outage does not end the session": {
			act: func(p *pair) {
				p.table.down = true
				p.step(true, 3*testTerm)
				p.table.down = false
				// The term restarts after the outage, so a holder that stays silent for less than a term can renew.
				p.step(false, testTerm-2*time.Second)
				p.step(true, time.Second)
			},
		},
		"a peer that was frozen restarts the term": {
			act: func(p *pair) {
				time.Sleep(3 * testTerm)
				p.step(false, testTerm-time.Second)
			},
		},
		"the claims of a session whose row was dropped are free": {
			act: func(p *pair) {
				own, _ := p.holder.Own()
				delete(p.table.rows, string(own))
				p.step(false, time.Second)
				assert.Assert(t, !p.peer.IsFree(own), "free before a later listing")
				p.step(false, 2*time.Second)
			},
			free: true,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair()
				id, ok := p.holder.Own()
				assert.Assert(t, ok)
				tt.act(p)
				assert.Equal(t, p.peer.IsFree(id), tt.free)
				assert.Equal(t, p.lost, tt.lost)
			})
		})
	}
}

func TestRenewalsStayWithinTheRateLimit(t *testing.T) {
	for holders, want := range map[int]time.Duration{
		1:    testTerm,
		12:   testTerm,
		2000: 120 * time.Second,
	} {
		sessions := New(nil, "vm-0", testTerm, func() int { return holders }, nil)
		assert.Equal(t, sessions.ownTerm(), want)
		assert.Assert(t, float64(holders)/(sessions.ownTerm()/renewalsPerTerm).Seconds() <= renewalsPerSecond)
	}
}
