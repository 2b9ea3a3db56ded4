package call_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/tablestore"
)

// outcome is the outcome of one write.
type outcome string

const (
	outcomeApplied     outcome = "applied"
	outcomeAnswerLost  outcome = "applied, answer lost"
	outcomeWriteLost   outcome = "lost"
	outcomeDelayed     outcome = "applied later, answer lost"
	outcomeUnavailable outcome = "refused"
)

// table is an in-memory table and object store. Its writes have the given outcomes in order, and after those succeed.
type table struct {
	mu       sync.Mutex
	rows     map[tablestore.Key]tablestore.Row
	objects  map[tablestore.ObjectName][]byte
	outcomes []outcome
	delayed  []tablestore.Write
	commits  int
}

func newTable() *table {
	return &table{
		rows:    map[tablestore.Key]tablestore.Row{},
		objects: map[tablestore.ObjectName][]byte{},
	}
}

func (f *table) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return tablestore.Row{}, tablestore.ErrNotFound
	}
	return row, nil
}

func (f *table) apply(write tablestore.Write) error {
	if write.Condition == tablestore.ConditionVersion && f.rows[write.Key].Version != write.Version {
		return tablestore.ErrConflict
	}
	f.rows[write.Key] = tablestore.Row{
		Key:     write.Key,
		Version: write.Version + 1,
		Data:    write.Data,
	}
	return nil
}

func (f *table) Commit(_ context.Context, txn tablestore.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	next := outcomeApplied
	if len(f.outcomes) > 0 {
		next, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	write := txn.Writes[0]
	switch next {
	case outcomeAnswerLost:
		_ = f.apply(write)
		return tablestore.ErrUnknown
	case outcomeWriteLost:
		return tablestore.ErrUnknown
	case outcomeDelayed:
		f.delayed = append(f.delayed, write)
		return tablestore.ErrUnknown
	case outcomeUnavailable:
		return tablestore.ErrUnavailable
	default:
		return f.apply(write)
	}
}

// applyDelayed applies the oldest delayed write, if its condition still holds.
func (f *table) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delayed) > 0 {
		_ = f.apply(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

// setOutcomes sets the outcomes of the next writes.
func (f *table) setOutcomes(outcomes ...outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = outcomes
}

func (f *table) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.commits
}

// objectStore is the object store of a table.
type objectStore struct {
	table *table
}

func (o objectStore) Put(_ context.Context, name tablestore.ObjectName, data []byte) error {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	o.table.objects[name] = data
	return nil
}

func (o objectStore) Get(_ context.Context, name tablestore.ObjectName) ([]byte, error) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	return o.table.objects[name], nil
}

// network carries queries between gateways, except to those that are cut off.
type network struct {
	gateways map[string]*call.Calls
	cut      map[string]bool
}

var errCut = errors.New("cut off")

func (n *network) Call(_ context.Context, address, _ string, args, reply any) error {
	target, ok := n.gateways[address]
	if !ok || n.cut[address] {
		return errCut
	}
	return call.NewService(target).State(args.(call.Query), reply.(*call.Reply))
}

func (n *network) start(f *table, address string) {
	n.gateways[address] = call.New(f, objectStore{
		table: f,
	}, n, call.Owner{
		Member:  address,
		Address: address,
	}, slog.New(slog.DiscardHandler))
}

func newNetwork(f *table, gateways int) *network {
	n := &network{
		gateways: map[string]*call.Calls{},
		cut:      map[string]bool{},
	}
	for i := range gateways {
		n.start(f, address(i))
	}
	return n
}

func address(i int) string {
	return fmt.Sprintf("gateway-%d", i)
}

func name(key string) call.Name {
	return call.Name{
		Organisation: "lawinenwerk",
		Service:      "booking",
		Key:          key,
	}
}
