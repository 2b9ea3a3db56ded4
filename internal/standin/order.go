package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// EngineOrder tells an engine what to serve.
type EngineOrder struct {
	Fence    int64
	Issuer   string
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// ObeyedOrder is an order and when an engine had carried it out.
type ObeyedOrder struct {
	EngineOrder
	At time.Time
}

// OrderState is what an engine says of its orders.
type OrderState struct {
	Current EngineOrder
	Loading bool
	Obeyed  []ObeyedOrder
}

type orderState struct {
	state *orderRecord
}

type orderRecord struct {
	// loading is held while an order is carried out, one after the other.
	loading sync.Mutex
	mu      sync.Mutex
	fence   int64
	busy    bool
	current EngineOrder
	models  []string
	obeyed  []ObeyedOrder
}

// newOrderState returns the state of an engine that holds version 1 of the first model; the others are always served.
func newOrderState(models []string) orderState {
	record := &orderRecord{}
	if len(models) > 0 {
		record.current.Model = models[0]
		record.current.Version = "1"
		record.models = models[1:]
	}
	return orderState{
		state: record,
	}
}

func (o orderState) serves(model string) bool {
	return slices.Contains(o.names(), model)
}

// names returns what is served, which while an order is carried out is not the model it replaces.
func (o orderState) names() []string {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	names := slices.Clone(o.state.models)
	if o.state.busy || o.state.current.Model == "" {
		return names
	}
	names = append(names, o.state.current.Adapters...)
	return append(names, o.state.current.Model)
}

// admit reports whether the order may be carried out: an engine that checks fencing numbers refuses old ones.
func (r *orderRecord) admit(order EngineOrder, checks bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if checks && order.Fence < r.fence {
		return false
	}
	r.fence = max(r.fence, order.Fence)
	return true
}

func (r *orderRecord) begin(order EngineOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = order.Model != r.current.Model || order.Version != r.current.Version
	return r.busy
}

func (r *orderRecord) end(order EngineOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	r.current = order
	r.obeyed = append(r.obeyed, ObeyedOrder{
		EngineOrder: order,
		At:          time.Now(),
	})
}

// serveOrder carries an order out, whether or not the caller waits for it.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := e.orders.state
	record.loading.Lock()
	defer record.loading.Unlock()
	if !record.admit(order, e.options.ChecksFence) {
		writeJSON(w, http.StatusConflict, e.OrderState())
		return
	}
	if record.begin(order) {
		time.Sleep(e.options.LoadTime)
	}
	record.end(order)
	writeJSON(w, http.StatusOK, order)
}

// OrderState returns the state of the engine's orders.
func (e *Engine) OrderState() OrderState {
	record := e.orders.state
	record.mu.Lock()
	defer record.mu.Unlock()
	return OrderState{
		Current: record.current,
		Loading: record.busy,
		Obeyed:  slices.Clone(record.obeyed),
	}
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.OrderState())
}
