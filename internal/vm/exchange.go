package vm

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/store"
)

// Methods of the exchange between VMs of what they know of the store.
const (
	exchangeName   = "Exchange"
	methodSnapshot = "Exchange.Snapshot"
	methodRelay    = "Exchange.Relay"
)

const (
	// snapshotPeriod is how often a VM that can't read the store asks another one.
	snapshotPeriod = 300 * time.Millisecond
	// snapshotTimeout bounds such a question, which takes milliseconds.
	snapshotTimeout = 250 * time.Millisecond
	// relaySlack is what the way to the other VM and back adds to a call at the store.
	relaySlack = 50 * time.Millisecond
	// relayTries is how many VMs are asked to make a call.
	relayTries = 3
)

// SnapshotArgs says as of which revision the asker knows each table.
type SnapshotArgs struct {
	Seen map[store.Table]store.Revision
}

// SnapshotReply holds what this VM knows more of the tables.
type SnapshotReply struct {
	Updates map[store.Table]store.Update
}

// exchange lets VMs that can't reach the store know and do what others can.
type exchange struct {
	self      pool.VMName
	mu        sync.Mutex
	seeds     []string
	followers []*store.Follower
	roster    *roster.Roster
	caller    pool.Caller
	direct    store.Store
	log       *slog.Logger
}

// Exchange is the net/rpc service.
type Exchange struct {
	exchange *exchange
}

// Snapshot returns what this VM knows more of the tables than the asker.
func (e *Exchange) Snapshot(args SnapshotArgs, reply *SnapshotReply) error {
	reply.Updates = map[store.Table]store.Update{}
	for _, f := range e.exchange.followers {
		update := f.Since(args.Seen[f.Table()])
		if update.Revision > args.Seen[f.Table()] {
			reply.Updates[f.Table()] = update
		}
	}
	return nil
}

// Relay makes a call at the store for another VM, unless the store does not answer this one either.
func (e *Exchange) Relay(args store.RelayArgs, reply *store.RelayReply) error {
	if e.exchange.blind() {
		*reply = store.NotRelayed()
		return nil
	}
	*reply = args.Serve(context.Background(), e.exchange.direct)
	return nil
}

// run asks other VMs for what this one can't read itself, until ctx ends.
func (e *exchange) run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.blind() {
			e.learn(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(snapshotPeriod):
		}
	}
}

func (e *exchange) blind() bool {
	for _, f := range e.followers {
		if f.Blind() {
			return true
		}
	}
	return false
}

// learn takes what a peer knows.
func (e *exchange) learn(ctx context.Context) {
	args := SnapshotArgs{
		Seen: map[store.Table]store.Revision{},
	}
	for _, f := range e.followers {
		args.Seen[f.Table()] = f.Seen()
	}
	for _, address := range e.peers() {
		var reply SnapshotReply
		call, cancel := context.WithTimeout(ctx, snapshotTimeout)
		err := e.caller.Call(call, address, methodSnapshot, args, &reply)
		cancel()
		if err != nil {
			continue
		}
		for _, f := range e.followers {
			if update, ok := reply.Updates[f.Table()]; ok {
				f.Offer(update)
			}
		}
		return
	}
}

// peers returns the addresses of other VMs in random order: those that are known, or the seeds.
func (e *exchange) peers() []string {
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
	return addresses[:min(relayTries, len(addresses))]
}

// setSeeds takes the addresses of VMs to ask when none is known.
func (e *exchange) setSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// Relay makes a call at the store through another VM.
func (e *exchange) Relay(ctx context.Context, args store.RelayArgs) (store.RelayReply, error) {
	for _, address := range e.peers() {
		var reply store.RelayReply
		call, cancel := context.WithTimeout(ctx, args.Within+relaySlack)
		err := e.caller.Call(call, address, methodRelay, args, &reply)
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
