package document_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/tablestore"
)

// history is a change log in memory that can be made unavailable.
type history struct {
	mu          sync.Mutex
	changes     []document.Change
	unavailable bool
}

func (h *history) accept() document.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	change := modelChange(fmt.Sprintf("change-%d", len(h.changes)), document.SectionVersion(len(h.changes)), "1")
	change.Revision = document.Revision(len(h.changes) + 1)
	h.changes = append(h.changes, change)
	return change
}

// source is one process's connection to the history.
type source struct {
	history *history
	// cut makes reads of the newest revision fail.
	cut bool
}

func (s *source) Head(context.Context) (document.Head, tablestore.Version, error) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	if s.cut || s.history.unavailable {
		return document.Head{}, 0, document.ErrUnavailable
	}
	return document.Head{
		Revision: document.Revision(len(s.history.changes)),
	}, 1, nil
}

func (s *source) Changes(_ context.Context, after document.Revision, _ int) ([]document.Change, error) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return s.history.changes[after:], nil
}

func (s *source) CatchUp(ctx context.Context, view *document.View, _ document.Revision) (*document.View, error) {
	changes, err := s.Changes(ctx, view.Revision, 0)
	if err != nil {
		return view, err
	}
	next, _, err := view.With(changes...)
	return next, err
}

// mesh is a fleet of followers that call each other in memory.
type mesh struct {
	history   *history
	followers []*document.Follower
	gossips   []*document.Gossip
	sources   []*source
	// group is the network partition that each process is in.
	group []int
	mu    sync.Mutex
	calls int
}

// neighbours implements document.Members for one process of the mesh.
type neighbours struct {
	mesh *mesh
	self int
}

func (n neighbours) Neighbours() []string {
	var addresses []string
	for _, step := range []int{1, 7, 31, 113} {
		if other := (n.self + step) % len(n.mesh.followers); other != n.self {
			addresses = append(addresses, strconv.Itoa(other))
		}
	}
	return addresses
}

func (n neighbours) Count() int { return len(n.mesh.followers) }

func (n neighbours) Majority(time.Duration) bool {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	connected := 0
	for _, group := range n.mesh.group {
		if group == n.mesh.group[n.self] {
			connected++
		}
	}
	return 2*connected > len(n.mesh.group)
}

var errCut = errors.New("cut")

// caller makes calls from one process of the mesh.
type caller struct {
	mesh *mesh
	self int
}

func (c caller) Call(_ context.Context, address, method string, args, reply any) error {
	c.mesh.mu.Lock()
	c.mesh.calls++
	to, err := strconv.Atoi(address)
	cut := err != nil || c.mesh.group[to] != c.mesh.group[c.self]
	c.mesh.mu.Unlock()
	if cut {
		return errCut
	}
	server := document.NewServer(c.mesh.followers[to])
	switch strings.TrimPrefix(method, "Document.") {
	case "Push":
		return server.Push(args.(document.PushArgs), reply.(*document.RevisionReply))
	case "Compare":
		return server.Compare(args.(document.CompareArgs), reply.(*document.CompareReply))
	default:
		return server.Whole(struct{}{}, reply.(*document.Document))
	}
}

func newMesh(processes int) *mesh {
	m := &mesh{
		history: &history{},
		group:   make([]int, processes),
	}
	for i := range processes {
		src := &source{
			history: m.history,
		}
		follower := document.NewFollower(src, neighbours{
			mesh: m,
			self: i,
		}, document.DefaultLimits(time.Second), slog.New(slog.DiscardHandler))
		m.sources = append(m.sources, src)
		m.followers = append(m.followers, follower)
		m.gossips = append(m.gossips, document.NewGossip(follower, caller{
			mesh: m,
			self: i,
		}, slog.New(slog.DiscardHandler)))
	}
	return m
}

func (m *mesh) run(ctx context.Context) {
	for i := range m.followers {
		go func() { _ = m.followers[i].Run(ctx) }()
		go func() { _ = m.gossips[i].Run(ctx) }()
	}
}

func (m *mesh) fresh(process int) bool {
	_, fresh := m.followers[process].Fresh()
	return fresh
}

func TestPushReachesEveryProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(200)
		for range 3 {
			change := m.history.accept()
			m.followers[5].Accepted(t.Context(), nil, change)
			synctest.Wait()
			for i, follower := range m.followers {
				assert.Equal(t, follower.View().Revision, change.Revision, "process %d", i)
			}
		}
		assert.Assert(t, m.calls <= 3*200*3, "%d calls", m.calls)
	})
}

func TestFresh(t *testing.T) {
	const processes = 5
	const last = processes - 1
	cases := map[string]struct {
		// fault is injected into the last process of an up-to-date fleet.
		fault func(m *mesh)
		after time.Duration
		want  bool
	}{
		"no fault": {
			fault: func(*mesh) {},
			after: time.Minute,
			want:  true,
		},
		"confirmed by peers": {
			fault: func(m *mesh) { m.sources[last].cut = true },
			after: time.Minute,
			want:  true,
		},
		"outage for all": {
			fault: func(m *mesh) { m.history.unavailable = true },
			after: time.Minute,
			want:  true,
		},
		"cut off for less than the propagation limit": {
			fault: func(m *mesh) { m.sources[last].cut, m.group[last] = true, 1 },
			after: 6 * time.Second,
			want:  true,
		},
		"cut off": {
			fault: func(m *mesh) { m.sources[last].cut, m.group[last] = true, 1 },
			after: 8 * time.Second,
		},
		"cut off with another": {
			fault: func(m *mesh) {
				for i := last - 1; i <= last; i++ {
					m.sources[i].cut, m.group[i] = true, 1
				}
			},
			after: 8 * time.Second,
		},
		"cut off in an outage": {
			fault: func(m *mesh) { m.history.unavailable, m.group[last] = true, 1 },
			after: 8 * time.Second,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				m := newMesh(processes)
				m.history.accept()
				m.run(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				m.mu.Lock()
				m.history.mu.Lock()
				tt.fault(m)
				m.history.mu.Unlock()
				m.mu.Unlock()
				time.Sleep(tt.after)
				for i := range m.followers {
					if m.group[i] == m.group[last] {
						assert.Equal(t, m.fresh(i), tt.want, "process %d", i)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestStaleProcessesAreNotFresh accepts a change every second while connections to the platform and between processes
// come and go. A process that counts as fresh while the platform is up must have every change that is older than the
// propagation limit.
func TestStaleProcessesAreNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := newMesh(12)
		m.run(ctx)
		var accepted []time.Time
		for second := range 300 {
			m.history.accept()
			accepted = append(accepted, time.Now())
			m.mu.Lock()
			m.history.mu.Lock()
			for i := range m.followers {
				m.sources[i].cut = (second/40+i)%3 != 0
				m.group[i] = (second/25 + i) % 2
			}
			m.history.mu.Unlock()
			m.mu.Unlock()
			time.Sleep(time.Second)
			for _, follower := range m.followers {
				view, fresh := follower.Fresh()
				due := second - 7
				if fresh && due >= 0 {
					assert.Assert(t, time.Since(accepted[due]) >= 8*time.Second)
					assert.Assert(t, int(view.Revision) > due, "revision %d, want more than %d", view.Revision, due)
				}
			}
		}
		cancel()
		synctest.Wait()
	})
}

func TestFollowerOnlyMovesForward(t *testing.T) {
	m := newMesh(1)
	old := document.NewView(document.New())
	for range 3 {
		m.followers[0].Accepted(t.Context(), nil, m.history.accept())
		m.followers[0].Advance(old)
		assert.NilError(t, m.followers[0].Apply(m.history.changes[:1]))
		assert.Equal(t, m.followers[0].View().Revision, document.Revision(len(m.history.changes)))
		old = m.followers[0].View()
	}
	m.followers[0].Advance(document.NewView(document.New()))
	assert.Equal(t, m.followers[0].View().Revision, document.Revision(3))
	assert.ErrorIs(t, m.followers[0].Apply([]document.Change{
		{
			Revision: 9,
			Section:  document.Models,
		},
	}), document.ErrGap)
}
