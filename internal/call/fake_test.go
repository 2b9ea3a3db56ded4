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
	outcomeApplied    outcome = "applied"
	outcomeAnswerLost outcome = "applied, answer lost"
	// outcomeWriteLost loses the write and its answer.
	outcomeWriteLost outcome = "lost"
	outcomeDelayed   outcome = "applied later, answer lost"
	// outcomeUnavailable refuses the write with ErrUnavailable.
	outcomeUnavailable outcome = "refused"
)

// table is an in-memory table and object store. The next writes have the given outcomes; later ones are applied.
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

func (t *table) Get(_ context.Context, key tablestore.Key) (tablestore.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return tablestore.Row{}, tablestore.ErrNotFound
	}
	return row, nil
}

func (t *table) apply(write tablestore.Write) error {
	if write.Condition == tablestore.ConditionVersion && t.rows[write.Key].Version != write.Version {
		return tablestore.ErrConflict
	}
	t.rows[write.Key] = tablestore.Row{
		Key:     write.Key,
		Version: write.Version + 1,
		Data:    write.Data,
	}
	return nil
}

func (t *table) Commit(_ context.Context, txn tablestore.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	next := outcomeApplied
	if len(t.outcomes) > 0 {
		next, t.outcomes = t.outcomes[0], t.outcomes[1:]
	}
	write := txn.Writes[0]
	switch next {
	case outcomeAnswerLost:
		_ = t.apply(write)
		return tablestore.ErrUnknown
	case outcomeWriteLost:
		return tablestore.ErrUnknown
	case outcomeDelayed:
		t.delayed = append(t.delayed, write)
		return tablestore.ErrUnknown
	case outcomeUnavailable:
		return tablestore.ErrUnavailable
	default:
		return t.apply(write)
	}
}

// applyDelayed applies the oldest delayed write, if its condition still holds.
func (t *table) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.delayed) > 0 {
		_ = t.apply(t.delayed[0])
		t.delayed = t.delayed[1:]
	}
}

// setOutcomes sets the outcomes of the next writes.
func (t *table) setOutcomes(outcomes ...outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = outcomes
}

func (t *table) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
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

func (n *network) start(t *table, address string) {
	n.gateways[address] = call.New(t, objectStore{
		table: t,
	}, n, call.Owner{
		Member:  address,
		Address: address,
	}, slog.New(slog.DiscardHandler))
}

func newNetwork(t *table, gateways int) *network {
	n := &network{
		gateways: map[string]*call.Calls{},
		cut:      map[string]bool{},
	}
	for i := range gateways {
		n.start(t, address(i))
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
