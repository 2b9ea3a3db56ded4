package pool

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

// fleet simulates the VMs of a system in one process. Calls to a VM can be made to fail or to get no answer.
type fleet struct {
	mu       sync.Mutex
	ranked   []Member
	stewards map[VMName]*Stewards
	// gone VMs refuse connections, silent ones accept calls but never answer.
	gone   map[VMName]bool
	silent map[VMName]bool
	// cut holds the VMs to which a VM cannot connect.
	cut map[VMName]map[VMName]bool
	// reset holds the VMs whose connection to a VM has been reset, which the next call finds out.
	reset  map[VMName]map[VMName]bool
	listed map[VMName]*quarantine.List
}

// network is how one VM reaches the others.
type network struct {
	*fleet
	from VMName
}

// Call fails if the VM cannot connect to the other one, or if its connection has been reset before the call ends.
func (n network) Call(ctx context.Context, address, method string, args, reply any) error {
	to := VMName(address)
	n.mu.Lock()
	cut := n.cut[n.from][to]
	n.mu.Unlock()
	if cut {
		return errors.New("refused")
	}
	err := n.fleet.Call(ctx, address, method, args, reply)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reset[n.from][to] {
		delete(n.reset[n.from], to)
		return errors.New("connection reset")
	}
	return err
}

// fixedInventory is an Inventory that never changes.
type fixedInventory struct {
	list   []inventory.Endpoint
	loaded bool
}

func (f fixedInventory) ForService(route.Service) []inventory.Endpoint { return f.list }
func (f fixedInventory) Loaded() bool                                  { return f.loaded }
func (f fixedInventory) SetLeaving(route.Service, inventory.Lifetime) bool {
	return false
}
func (f fixedInventory) Leaving(route.Service) []inventory.Lifetime { return nil }

func newFleet(vms, slots int, ids ...inventory.ID) *fleet {
	f := &fleet{
		stewards: map[VMName]*Stewards{},
		gone:     map[VMName]bool{},
		silent:   map[VMName]bool{},
		cut:      map[VMName]map[VMName]bool{},
		reset:    map[VMName]map[VMName]bool{},
		listed:   map[VMName]*quarantine.List{},
	}
	for n := range vms {
		name := VMName(strconv.Itoa(n))
		f.ranked = append(f.ranked, Member{
			VM:      name,
			Address: string(name),
		})
		f.listed[name] = quarantine.NewList(slog.New(slog.DiscardHandler))
		f.stewards[name] = NewStewards(fixedInventory{
			list:   endpoints(slots, ids...),
			loaded: true,
		}, f.listed[name], slog.New(slog.DiscardHandler))
	}
	return f
}

func (f *fleet) Ranked(route.Service) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ranked
}

func (f *fleet) ObserveUptime(VMName, time.Duration) {}

func (f *fleet) set(change func(f *fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fleet) Call(ctx context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	to := f.stewards[VMName(address)]
	gone, silent := f.gone[VMName(address)], f.silent[VMName(address)]
	f.mu.Unlock()
	if gone {
		return errors.New("refused")
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	r := reply.(*Reply)
	switch method {
	case MethodUpdate:
		return to.Tell(args.(UpdateArgs), r)
	case MethodListen:
		return to.Listen(args.(ListenArgs), r)
	case MethodLeave:
		return to.Leave(args.(LeaveArgs), r)
	case MethodPing:
		return to.Ping(args.(PingArgs), r)
	}
	return fmt.Errorf("no method %s", method)
}

// client starts the client of a VM.
func (f *fleet) client(ctx context.Context, vm VMName) *Client {
	c := NewClient(Member{VM: vm, Address: string(vm)}, "a", "s", f, network{fleet: f, from: vm}, f.stewards[vm], f.listed[vm], slog.New(slog.DiscardHandler))
	go c.Run(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-f.listed[vm].Changed():
				f.stewards[vm].QuarantineChanged()
			}
		}
	}()
	return c
}

func slotRequest(id string, in time.Duration) SlotRequest {
	return SlotRequest{
		ID:      TicketID(id),
		Start:   time.Now().Add(in),
		Expires: time.Now().Add(in),
	}
}

// simulateFleet runs a test in simulated time with a client on each VM and one endpoint.
func simulateFleet(t *testing.T, vms, slots int, do func(ctx context.Context, f *fleet, clients []*Client)) {
	t.Helper()
	simulateEndpoints(t, vms, slots, []inventory.ID{"e"}, do)
}

// simulateEndpoints is like simulateFleet with several endpoints.
func simulateEndpoints(t *testing.T, vms, slots int, ids []inventory.ID, do func(ctx context.Context, f *fleet, clients []*Client)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		f := newFleet(vms, slots, ids...)
		var clients []*Client
		for _, m := range f.ranked {
			clients = append(clients, f.client(ctx, m.VM))
		}
		time.Sleep(time.Second)
		do(ctx, f, clients)
	})
}

// TestOneQueue checks that all VMs share the slots of one steward.
func TestOneQueue(t *testing.T) {
	simulateFleet(t, 3, 1, func(ctx context.Context, _ *fleet, clients []*Client) {
		slot, err := clients[1].Acquire(ctx, slotRequest("a", time.Second))
		assert.NilError(t, err)
		_, err = clients[2].Acquire(ctx, slotRequest("b", 100*time.Millisecond))
		var refused *Refused
		assert.Assert(t, errors.As(err, &refused))
		slot.Release(TroubleNone)
		// The time allows for a run of average length; otherwise the request is refused if it arrives before the
		// release.
		_, err = clients[2].Acquire(ctx, slotRequest("c", 2*time.Second))
		assert.NilError(t, err)
	})
}

// TestStewardLost checks that a request is still on time when its steward, and possibly the next ones, are gone or
// silent. The objective is 300 ms, of which some 60 ms are left for the first event.
func TestStewardLost(t *testing.T) {
	tests := map[string]func(f *fleet){
		"one gone": func(f *fleet) {
			f.gone["0"] = true
		},
		"one silent": func(f *fleet) {
			f.silent["0"] = true
		},
		"three silent": func(f *fleet) {
			f.silent["0"] = true
			f.silent["1"] = true
			f.silent["2"] = true
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			simulateFleet(t, 5, 4, func(ctx context.Context, f *fleet, clients []*Client) {
				f.set(lose)
				begun := time.Now()
				_, err := clients[4].Acquire(ctx, slotRequest("a", time.Second))
				assert.NilError(t, err)
				assert.Assert(t, time.Since(begun) < 240*time.Millisecond, "%v", time.Since(begun))
			})
		})
	}
}

// TestVMsThatAreGoneForGood guards against VMs that each grant slots on their own because the VMs that rank highest, and are still
// listed, no longer exist.
func TestVMsThatAreGoneForGood(t *testing.T) {
	const live = 5
	for name, gone := range map[string]int{
		"one":    1,
		"five":   5,
		"twelve": 12,
		"many":   150,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				f := newFleet(gone+live, 4, "e")
				var clients []*Client
				for _, m := range f.ranked[:gone] {
					f.silent[m.VM] = true
				}
				for _, m := range f.ranked[gone:] {
					clients = append(clients, f.client(ctx, m.VM))
				}
				steward := func(want VMName) bool {
					for _, c := range clients {
						if c.Steward() != want {
							return false
						}
					}
					return true
				}
				time.Sleep(3 * time.Second)
				first, second := f.ranked[gone].VM, f.ranked[gone+1].VM
				for range 100 {
					assert.Assert(t, steward(first))
					time.Sleep(100 * time.Millisecond)
				}
				f.set(func(f *fleet) { f.silent[first] = true })
				time.Sleep(3 * time.Second)
				for _, c := range clients[1:] {
					assert.Equal(t, c.Steward(), second)
				}
				f.set(func(f *fleet) { f.silent[first] = false })
				for since := time.Now(); !steward(first); time.Sleep(100 * time.Millisecond) {
					assert.Assert(t, time.Since(since) < 3*time.Minute, "VMs have not returned to the first steward")
				}
			})
		})
	}
}

// TestNewStewardKnowsWhatRuns checks that slots granted by a lost steward still count at the next one.
func TestNewStewardKnowsWhatRuns(t *testing.T) {
	simulateFleet(t, 3, 1, func(ctx context.Context, f *fleet, clients []*Client) {
		held, err := clients[1].Acquire(ctx, slotRequest("a", time.Second))
		assert.NilError(t, err)
		f.set(func(f *fleet) { f.gone["0"] = true })
		time.Sleep(500 * time.Millisecond)
		_, err = clients[2].Acquire(ctx, slotRequest("b", 200*time.Millisecond))
		var refused *Refused
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		held.Release(TroubleNone)
		_, err = clients[2].Acquire(ctx, slotRequest("c", 200*time.Millisecond))
		assert.NilError(t, err)
		// The highest-ranked steward is back: all VMs return to it, and the slot still counts there.
		f.set(func(f *fleet) { f.gone["0"] = false })
		time.Sleep(3 * time.Second)
		assert.Equal(t, clients[1].Steward(), VMName("0"))
		_, err = clients[1].Acquire(ctx, slotRequest("d", 200*time.Millisecond))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	})
}

// TestRetiringSteward checks that VMs use another steward once theirs is retiring.
func TestRetiringSteward(t *testing.T) {
	simulateFleet(t, 3, 4, func(ctx context.Context, f *fleet, clients []*Client) {
		f.stewards["0"].Retire()
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, clients[0].Steward(), VMName("1"))
		assert.Equal(t, clients[2].Steward(), VMName("1"))
		_, err := clients[2].Acquire(ctx, slotRequest("a", time.Second))
		assert.NilError(t, err)
	})
}

// TestCallerWhoLeaves checks that a request whose caller left while it waited does not occupy a slot later.
func TestCallerWhoLeaves(t *testing.T) {
	simulateFleet(t, 2, 1, func(ctx context.Context, _ *fleet, clients []*Client) {
		held, err := clients[0].Acquire(ctx, slotRequest("a", time.Second))
		assert.NilError(t, err)
		leaving, leave := context.WithTimeout(ctx, 50*time.Millisecond)
		defer leave()
		_, err = clients[1].Acquire(leaving, slotRequest("b", time.Second))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		// The withdrawal and the release each reach the steward first. Otherwise the slot may be granted to the request that is
		// withdrawn, and the next one is refused if it arrives before the slot is back.
		time.Sleep(recheckPeriod)
		held.Release(TroubleNone)
		time.Sleep(recheckPeriod)
		_, err = clients[0].Acquire(ctx, slotRequest("c", 100*time.Millisecond))
		assert.NilError(t, err)
	})
}

// TestResetConnectionsKeepTheSteward guards against several stewards at a time after connections between VMs are reset.
func TestResetConnectionsKeepTheSteward(t *testing.T) {
	simulateFleet(t, 6, 4, func(ctx context.Context, f *fleet, clients []*Client) {
		f.set(func(f *fleet) {
			for _, from := range f.ranked {
				f.reset[from.VM] = map[VMName]bool{}
				for _, to := range f.ranked {
					f.reset[from.VM][to.VM] = true
				}
			}
		})
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			for _, c := range clients {
				assert.Equal(t, c.Steward(), VMName("0"))
			}
		}
		for n, c := range clients {
			slot, err := c.Acquire(ctx, slotRequest(fmt.Sprint("r", n), time.Second))
			assert.NilError(t, err)
			slot.Release(TroubleNone)
		}
	})
}

// lateInventory is loaded from the second time on that it is asked, and calls loaded then.
type lateInventory struct {
	fixedInventory
	asked  *atomic.Int32
	loaded func()
}

func (l lateInventory) Loaded() bool {
	asked := l.asked.Add(1)
	if asked == 2 {
		l.loaded()
	}
	return asked >= 2
}

// TestVMThatBecomesReadyInAnElection guards against a VM that has just started and is its own steward, beside that of the others,
// because it has read the tables between its election, in which it was not ready and knew no other VM, and its first update.
func TestVMThatBecomesReadyInAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		f := newFleet(2, 4, "e")
		all := f.ranked
		others := f.client(ctx, "0")
		time.Sleep(time.Second)
		late := &fleet{
			ranked:   all[1:],
			stewards: f.stewards,
			listed:   f.listed,
		}
		var asked atomic.Int32
		f.set(func(f *fleet) {
			f.stewards["1"] = NewStewards(lateInventory{
				fixedInventory: fixedInventory{list: endpoints(4, "e")},
				asked:          &asked,
				loaded: func() {
					late.set(func(late *fleet) {
						late.ranked = all
					})
				},
			}, f.listed["1"], slog.New(slog.DiscardHandler))
		})
		c := late.client(ctx, "1")
		time.Sleep(rankingPeriod - time.Millisecond)
		assert.Equal(t, others.Steward(), VMName("0"))
		assert.Equal(t, c.Steward(), VMName("0"))
	})
}
