package vm

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/progress"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/store"
	"rhubarbrudder/platform"
)

// Name and methods of the net/rpc service through which VMs exchange store contents and make store calls for each
// other.
const (
	exchangeName   = "Exchange"
	methodSnapshot = "Exchange.Snapshot"
	methodRelay    = "Exchange.Relay"
)

const (
	// snapshotPeriod is the time between snapshot requests of a VM that cannot read the store.
	snapshotPeriod = 300 * time.Millisecond
	// snapshotTimeout bounds a snapshot request, which normally takes milliseconds.
	snapshotTimeout = 250 * time.Millisecond
	// relayMargin is the time that the round trip to the other VM adds to a store call.
	relayMargin = 50 * time.Millisecond
	// maxPeers is the number of VMs that are tried for one call.
	maxPeers = 3
	// freshAge is how old a peer's tables may be for its answer to suffice. While the store answers a VM, it confirms the
	// VM's tables at least each 1.6 s, unless the VM is about to find that the store is away.
	freshAge = 2 * time.Second
	// maxHeard bounds the VMs that are remembered because they have called.
	maxHeard = 32
)

// SnapshotArgs requests updates of tables. Seen holds the newest revision of each table that the requesting VM knows, From is the
// address at which other VMs call it.
type SnapshotArgs struct {
	Seen map[store.Table]store.Revision
	From string
}

// SnapshotReply holds the updates of the tables that this VM knows at a newer revision.
type SnapshotReply struct {
	Updates map[store.Table]store.Update
}

// exchange lets a VM that cannot reach the store receive table updates from other VMs and make store calls through
// them.
type exchange struct {
	self    pool.VMName
	address string
	mu      sync.Mutex
	seeds   []string
	// heard holds the addresses of VMs that have called, the latest ones last. The roster of a VM that is cut off from the store
	// lacks the VMs that started since, which may be the only ones that are not cut off.
	heard     []string
	followers []*store.Follower
	roster    *roster.Roster
	caller    pool.Caller
	direct    store.Store
	log       *slog.Logger
}

// Exchange is the net/rpc service that answers the exchanges of other VMs.
type Exchange struct {
	exchange *exchange
}

// Snapshot returns updates of the tables that this VM knows at the revision of the requesting one or a newer one. One of the
// same revision has no rows, and tells how long ago this VM's table was confirmed.
func (e *Exchange) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	e.exchange.hear(args.From)
	reply.Updates = map[store.Table]store.Update{}
	for _, f := range e.exchange.followers {
		update := f.UpdateSince(args.Seen[f.Table()])
		if update.Revision >= args.Seen[f.Table()] {
			reply.Updates[f.Table()] = update
		}
	}
	return nil
}

// Relay makes a store call on behalf of another VM, unless this VM cannot reach the store either.
func (e *Exchange) Relay(args store.RelayArgs, reply *store.RelayReply) error {
	if e.exchange.disconnected() {
		*reply = store.NotRelayed()
		return nil
	}
	*reply = args.Serve(context.Background(), e.exchange.direct)
	return nil
}

// run fetches snapshots from other VMs while this one cannot read the store, until ctx ends. It does so once at the start in any
// case, which tells these VMs of this one.
func (e *exchange) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if first || e.disconnected() {
			e.fetchSnapshot(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(snapshotPeriod):
		}
	}
}

func (e *exchange) disconnected() bool {
	for _, f := range e.followers {
		if f.Disconnected() {
			return true
		}
	}
	return false
}

// fetchSnapshot applies the table updates of other VMs, until one has answered whose tables were confirmed lately. A peer that
// is cut off from the store as well would otherwise end the search.
func (e *exchange) fetchSnapshot(ctx context.Context) {
	for _, address := range e.snapshotPeers() {
		if e.fetchFrom(ctx, address) {
			return
		}
	}
}

// fetchFrom applies the table updates of another VM and reports whether all its tables were confirmed lately.
func (e *exchange) fetchFrom(ctx context.Context, address string) bool {
	args := SnapshotArgs{
		Seen: map[store.Table]store.Revision{},
		From: e.address,
	}
	for _, f := range e.followers {
		args.Seen[f.Table()] = f.Revision()
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	asked := time.Now()
	var reply SnapshotReply
	if err := e.caller.Call(ctx, address, methodSnapshot, args, &reply); err != nil {
		e.forget(address)
		return false
	}
	fresh := true
	for _, f := range e.followers {
		update, ok := reply.Updates[f.Table()]
		if !ok {
			fresh = false
			continue
		}
		for i := range update.Rows {
			// A VM of an earlier version may send keys.
			update.Rows[i] = platform.WithoutKeys(update.Rows[i])
		}
		fresh = fresh && update.Confirmed && update.Age <= freshAge
		update.Age += time.Since(asked)
		f.Apply(update)
	}
	return fresh
}

// hear remembers the address of a VM that has called.
func (e *exchange) hear(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address == "" || address == e.address || slices.Contains(e.heard, address) {
		return
	}
	e.heard = append(e.heard, address)
	e.heard = e.heard[max(0, len(e.heard)-maxHeard):]
}

// forget drops the address of a VM that has called but does not answer.
func (e *exchange) forget(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = slices.DeleteFunc(e.heard, func(heard string) bool {
		return heard == address
	})
}

// snapshotPeers returns the addresses of up to maxPeers other VMs to ask for snapshots. The first one is of a VM that has called
// and that the roster does not list, if there is any.
func (e *exchange) snapshotPeers() []string {
	listed := map[string]bool{}
	for _, vm := range e.roster.All() {
		listed[vm.Address] = true
	}
	addresses := e.peerAddresses()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = slices.DeleteFunc(e.heard, func(heard string) bool {
		return listed[heard]
	})
	if len(e.heard) > 0 {
		addresses = slices.Insert(addresses, 0, e.heard[rand.N(len(e.heard))])
	}
	return addresses[:min(maxPeers, len(addresses))]
}

// peerAddresses returns the addresses of up to maxPeers other VMs in random order. They come from the roster or, if it
// lists no other VM, from the seeds.
func (e *exchange) peerAddresses() []string {
	var addresses []string
	own := ""
	for _, vm := range e.roster.All() {
		if vm.Name == e.self {
			own = vm.Address
			continue
		}
		addresses = append(addresses, vm.Address)
	}
	if len(addresses) == 0 {
		e.mu.Lock()
		seeds := e.seeds
		e.mu.Unlock()
		for _, seed := range seeds {
			if seed != own {
				addresses = append(addresses, seed)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(maxPeers, len(addresses))]
}

// setSeeds sets the addresses to use while the roster lists no other VM.
func (e *exchange) setSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// Relay makes a store call through another VM. It tries up to maxPeers VMs, but a commit that may have reached one is
// not tried again.
func (e *exchange) Relay(ctx context.Context, args store.RelayArgs) (store.RelayReply, error) {
	for _, address := range e.peerAddresses() {
		var reply store.RelayReply
		callCtx, cancel := progress.WithLimit(ctx, args.Within+relayMargin)
		err := e.caller.Call(callCtx, address, methodRelay, args, &reply)
		cancel()
		if err != nil && args.Commit != nil {
			return reply, errors.Join(store.ErrUnknown, err)
		}
		if err != nil || errors.Is(reply.Err(), store.ErrUnavailable) {
			continue
		}
		e.log.Info("store called through peer", "peer", address, "failure", reply.Failure)
		return reply, nil
	}
	return store.RelayReply{}, store.ErrUnavailable
}
