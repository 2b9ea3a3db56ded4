package batch

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
)

// slowCaller calls the managers of other VMs, which answer after a delay.
type slowCaller struct {
	managers map[string]*Manager
	delay    map[string]time.Duration
}

func (c slowCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if !sleep(ctx, c.delay[address]) {
		return ctx.Err()
	}
	service := NewService(c.managers[address])
	switch a := args.(type) {
	case HoldsArgs:
		return service.Holds(a, reply.(*HoldsReply))
	case AdoptArgs:
		return service.Adopt(a, reply.(*HoldsReply))
	}
	return errors.New("no method " + method)
}

// vmList is a Roster of the VMs, whose addresses are their names.
type vmList []pool.VMName

func (l vmList) Get(name pool.VMName) (roster.VM, bool) {
	return roster.VM{
		Name:    name,
		Address: string(name),
	}, true
}

func (l vmList) All() []roster.VM {
	var vms []roster.VM
	for _, name := range l {
		vm, _ := l.Get(name)
		vms = append(vms, vm)
	}
	return vms
}

// TestSlowOwnerKeepsItsJob checks that the job of a VM that is slow to answer is not run again elsewhere, while that of a
// VM that does not answer is.
func TestSlowOwnerKeepsItsJob(t *testing.T) {
	cases := map[string]struct {
		delay time.Duration
		owner string
	}{
		"quick":  {owner: "a"},
		"slow":   {delay: 2 * queryTimeout, owner: "a"},
		"silent": {delay: time.Minute, owner: "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMemoryStore()
			a := newManager(t, m, "a")
			b := newManager(t, m, "b")
			assert.NilError(t, a.Accept(context.Background(), submission("j", 2, 10), jobRoute))
			s := NewSupervisor(b, vmList{"a", "b"}, slowCaller{
				managers: map[string]*Manager{"a": a, "b": b},
				delay:    map[string]time.Duration{"a": c.delay},
			}, func() bool { return true }, time.Minute, slog.New(slog.DiscardHandler))
			for range maxMissedScans + 1 {
				s.scan(context.Background())
			}
			time.Sleep(50 * time.Millisecond)
			claim, _, err := a.ledger.claim(context.Background(), "j")
			assert.NilError(t, err)
			assert.Equal(t, claim.Owner, c.owner)
		})
	}
}
