package fleet_test

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/tablestore"
)

const heartbeatPeriod = 500 * time.Millisecond

// network carries calls between fleets in memory. Each direction of a connection can be cut.
type network struct {
	mu       sync.Mutex
	vms      []tablestore.VM
	services map[string]*fleet.Service
	// cut reports whether calls from one address to another are cut; nil cuts none.
	cut func(from, to string) bool
	// calls counts all calls, including failed ones.
	calls int
	// bytes counts the bytes of the messages, encoded by gob on persistent connections. It is nil if they are not
	// counted.
	bytes *counter
	// encoders holds the encoder of each direction of a connection, by the addresses of its ends.
	encoders map[string]*gob.Encoder
}

// counter counts the bytes written to it.
type counter struct {
	count int
}

func (c *counter) Write(data []byte) (int, error) {
	c.count += len(data)
	return len(data), nil
}

func (n *network) VMs(context.Context) ([]tablestore.VM, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms, nil
}

func (n *network) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// count adds the size of a message to bytes.
func (n *network) count(connection string, message any) {
	if n.bytes == nil {
		return
	}
	encoder := n.encoders[connection]
	if encoder == nil {
		encoder = gob.NewEncoder(n.bytes)
		n.encoders[connection] = encoder
	}
	_ = encoder.Encode(message)
}

// client is one process's connection to the network.
type client struct {
	network *network
	from    string
}

var errCut = errors.New("cut")

func (c client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.network.mu.Lock()
	c.network.calls++
	service := c.network.services[address]
	cut := c.network.cut != nil && c.network.cut(c.from, address)
	c.network.count(c.from+address, args)
	c.network.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errCut
	}
	if service == nil {
		return errCut
	}
	if method == fleet.MethodBeat {
		if err := service.Beat(args.(fleet.Heartbeat), reply.(*fleet.Heartbeat)); err != nil {
			return err
		}
	} else if err := service.Compare(args.(fleet.Records), reply.(*fleet.Records)); err != nil {
		return err
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.count(address+c.from, reply)
	return nil
}

func vmAt(i int) tablestore.VM {
	return tablestore.VM{
		Name:        tablestore.VMName(fmt.Sprintf("vm-%d", i)),
		Incarnation: "1",
		Address:     fmt.Sprintf("10.0.%d.%d", i/250, i%250),
		State:       tablestore.VMLive,
	}
}

// addressOf returns the address of the gateway of a VM. Gateway is the only role in these tests.
func addressOf(i int) string {
	return vmAt(i).Address + ":7101"
}

// world is a network and the processes that run on it.
type world struct {
	*network
	// fleets and stops hold the process of each VM and the function that stops it.
	fleets []*fleet.Fleet
	stops  []context.CancelFunc
	runCtx context.Context
	group  sync.WaitGroup
}

func newWorld(ctx context.Context, size int) *world {
	w := &world{
		network: &network{
			services: map[string]*fleet.Service{},
			encoders: map[string]*gob.Encoder{},
		},
		fleets: make([]*fleet.Fleet, size),
		stops:  make([]context.CancelFunc, size),
		runCtx: ctx,
	}
	for i := range size {
		w.vms = append(w.vms, vmAt(i))
	}
	for i := range size {
		w.start(i, "first")
	}
	return w
}

// start starts the process of VM i.
func (w *world) start(i int, incarnation string) {
	process := fleet.New(fleet.Member{
		Role:        fleet.RoleGateway,
		VM:          vmAt(i).Name,
		Incarnation: incarnation,
		Address:     addressOf(i),
	}, fleet.Ports{fleet.RoleGateway: 7101}, w, client{
		network: w.network,
		from:    addressOf(i),
	}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(w.runCtx)
	w.fleets[i], w.stops[i] = process, stop
	w.mu.Lock()
	w.services[addressOf(i)] = fleet.NewService(process)
	w.mu.Unlock()
	w.group.Go(func() {
		_ = process.Refresh(ctx)
		_ = process.Run(ctx, time.Second, heartbeatPeriod)
	})
}

// kill stops the process of VM i without its leaving first.
func (w *world) kill(i int) {
	w.stops[i]()
	w.mu.Lock()
	delete(w.services, addressOf(i))
	w.mu.Unlock()
}

func (w *world) setCut(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// alive returns the VMs, with their incarnations, that a process considers alive.
func (w *world) alive(i int) []string {
	var names []string
	for _, member := range w.fleets[i].Alive(fleet.RoleGateway) {
		names = append(names, string(member.VM)+"/"+member.Incarnation)
	}
	return names
}

// inWorld runs a test in a world with fake time, 10 s after the processes have started.
func inWorld(t *testing.T, size int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, size)
		time.Sleep(10 * time.Second)
		test(t, w)
		cancel()
		w.group.Wait()
	})
}

// cutTo returns a function that cuts the connections to process i from the given processes, or from all if there are
// none.
func cutTo(i int, addresses ...int) func(from, to string) bool {
	return func(from, to string) bool {
		return to == addressOf(i) && (len(addresses) == 0 || slices.ContainsFunc(addresses, func(a int) bool { return from == addressOf(a) }))
	}
}

// TestFaults checks which members the others consider alive some seconds after a fault.
func TestFaults(t *testing.T) {
	const size = 12
	all := func(w *world, except ...string) []string {
		var names []string
		for i := range size {
			name := fmt.Sprintf("vm-%d/first", i)
			if !slices.Contains(except, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return names
	}
	cases := map[string]struct {
		fault func(w *world)
		lost  []string
		added []string
	}{
		"none": {
			fault: func(*world) { time.Sleep(10 * time.Minute) },
		},
		"killed": {
			fault: func(w *world) { w.kill(3) },
			lost:  []string{"vm-3/first"},
		},
		"three killed": {
			fault: func(w *world) { w.kill(3); w.kill(4); w.kill(5) },
			lost:  []string{"vm-3/first", "vm-4/first", "vm-5/first"},
		},
		"leaving": {
			fault: func(w *world) { w.fleets[3].Leave() },
			lost:  []string{"vm-3/first"},
		},
		"replaced under the same address": {
			fault: func(w *world) { w.kill(3); w.start(3, "second") },
			lost:  []string{"vm-3/first"},
			added: []string{"vm-3/second"},
		},
		"sends heartbeats but can't be reached": {
			fault: func(w *world) { w.setCut(cutTo(3)) },
			lost:  []string{"vm-3/first"},
		},
		"silent for a while": {
			fault: func(w *world) {
				w.setCut(func(from, to string) bool { return from == addressOf(3) || to == addressOf(3) })
				time.Sleep(20 * time.Second)
				w.setCut(nil)
			},
		},
		"partitioned for a while": {
			fault: func(w *world) {
				w.setCut(func(from, to string) bool { return (from < addressOf(3)) != (to < addressOf(3)) })
				time.Sleep(time.Minute)
				w.setCut(nil)
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, size, func(t *testing.T, w *world) {
				tt.fault(w)
				time.Sleep(8 * time.Second)
				want := append(all(w, tt.lost...), tt.added...)
				slices.Sort(want)
				for i := range size {
					if slices.Contains(tt.lost, fmt.Sprintf("vm-%d/first", i)) && len(tt.added) == 0 {
						continue
					}
					assert.DeepEqual(t, w.alive(i), want)
				}
			})
		})
	}
}

// TestOneCutLineLosesNobody cuts the connection from one member after another to the same member and checks that no
// member is lost.
func TestOneCutLineLosesNobody(t *testing.T) {
	const size = 12
	inWorld(t, size, func(t *testing.T, w *world) {
		for i := range size {
			if i == 3 {
				continue
			}
			w.setCut(cutTo(3, i))
			time.Sleep(6 * time.Second)
			for j := range size {
				assert.Equal(t, len(w.alive(j)), size, "process %d, with the connection from %d to 3 cut", j, i)
			}
		}
	})
}

// TestMajority partitions a fleet and checks that only the larger part considers itself the majority.
func TestMajority(t *testing.T) {
	const size = 60
	cases := map[string]int{
		"one alone": 1,
		"a tenth":   6,
		"a third":   20,
	}
	for name, minority := range cases {
		t.Run(name, func(t *testing.T) {
			inWorld(t, size, func(t *testing.T, w *world) {
				inside := func(address string) bool {
					return slices.ContainsFunc(w.vms[:minority], func(vm tablestore.VM) bool { return strings.HasPrefix(address, vm.Address+":") })
				}
				w.setCut(func(from, to string) bool { return inside(from) != inside(to) })
				time.Sleep(8 * time.Second)
				for i := range size {
					assert.Equal(t, w.fleets[i].Majority(8*time.Second), i >= minority, "process %d", i)
				}
			})
		})
	}
}

// TestCostIsFlat checks that the calls per process and heartbeat of a quiet fleet hardly grow with its size.
func TestCostIsFlat(t *testing.T) {
	perProcess := func(size int) float64 {
		const rounds = 100
		var calls int
		inWorld(t, size, func(_ *testing.T, w *world) {
			time.Sleep(20 * time.Second)
			before := w.callCount()
			time.Sleep(rounds * heartbeatPeriod)
			calls = w.callCount() - before
		})
		return float64(calls) / float64(size) / rounds
	}
	small, large := perProcess(12), perProcess(300)
	assert.Assert(t, large < 1.1*small, "%.2f calls a heartbeat at 300 processes, %.2f at 12", large, small)
}

// TestOwnershipMovesLittle removes one of many members and checks that only names owned by it change their owner.
func TestOwnershipMovesLittle(t *testing.T) {
	var members []fleet.Member
	for i := range 50 {
		members = append(members, fleet.Member{
			VM: vmAt(i).Name,
		})
	}
	fewer := slices.Concat(members[:20], members[21:])
	for i := range 2000 {
		name := fmt.Sprintf("name-%d", i)
		before, _ := fleet.Owner(members, name)
		after, _ := fleet.Owner(fewer, name)
		assert.Assert(t, before == after || before == members[20])
	}
}

// BenchmarkQuietFleet reports the network and processor cost per process of a quiet fleet of each size.
func BenchmarkQuietFleet(b *testing.B) {
	for _, size := range []int{12, 48, 200, 600} {
		b.Run(fmt.Sprintf("processes=%d", size), func(b *testing.B) {
			measureQuietFleet(b, size)
		})
	}
}

func measureQuietFleet(b *testing.B, size int) {
	const rounds = 40
	b.StopTimer()
	// The synctest bubble needs a T of its own. Its clock is independent of the benchmark's.
	synctest.Test(&testing.T{}, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, size)
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		w.bytes = &counter{}
		w.mu.Unlock()
		time.Sleep(rounds * heartbeatPeriod)
		before, cpu := w.bytes.count, processorTime()
		time.Sleep(rounds * heartbeatPeriod)
		periods := float64(size * rounds)
		b.ReportMetric(float64(w.bytes.count-before)/periods/heartbeatPeriod.Seconds(), "bytes/s/process")
		b.ReportMetric(float64(processorTime()-cpu)/periods/float64(heartbeatPeriod)*100, "%core/process")
		cancel()
		w.group.Wait()
	})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var _ io.Writer = &counter{}
