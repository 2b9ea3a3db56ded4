package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// EngineOrder tells an engine which model to serve. Fence is its fencing token, by which an engine can refuse orders of
// an issuer that has been superseded.
type EngineOrder struct {
	Fence    int64
	Issuer   string
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// ObeyedOrder is an order that an engine has executed, and the time when it finished.
type ObeyedOrder struct {
	EngineOrder
	At time.Time
}

// OrderState is an engine's report on its orders.
type OrderState struct {
	Current EngineOrder
	Loading bool
	Obeyed  []ObeyedOrder
}

// orderState is the engine's state with respect to orders, shared by copies.
type orderState struct {
	state *orderRecord
}

// orderRecord holds the model in use and the orders that were executed.
type orderRecord struct {
	// orderMu is held while an order is executed, so that orders are executed one at a time.
	orderMu sync.Mutex
	mu      sync.Mutex
	// fence is the newest fencing token of an order.
	fence int64
	// loading means that the engine is loading another model or version.
	loading bool
	// current is the order in force; models holds the models that are always served.
	current EngineOrder
	models  []string
	obeyed  []ObeyedOrder
}

// newOrderState returns the state of an engine that has loaded version 1 of the first model. Orders replace only this
// model; the others are always served.
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

// names returns the names that are served. While another model or version is being loaded, they do not include the
// model that it replaces.
func (o orderState) names() []string {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	names := slices.Clone(o.state.models)
	if o.state.loading || o.state.current.Model == "" {
		return names
	}
	names = append(names, o.state.current.Adapters...)
	return append(names, o.state.current.Model)
}

// admit reports whether the order may be executed. With checksFence, orders with an old fencing token are refused.
func (r *orderRecord) admit(order EngineOrder, checksFence bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if checksFence && order.Fence < r.fence {
		return false
	}
	r.fence = max(r.fence, order.Fence)
	return true
}

// begin marks the engine as loading if the order requires another model or version, and reports whether it does.
func (r *orderRecord) begin(order EngineOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = order.Model != r.current.Model || order.Version != r.current.Version
	return r.loading
}

// end puts the order in force.
func (r *orderRecord) end(order EngineOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = false
	r.current = order
	r.obeyed = append(r.obeyed, ObeyedOrder{
		EngineOrder: order,
		At:          time.Now(),
	})
}

// serveOrder executes an order, even if the client disconnects before it is finished.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := e.orders.state
	record.orderMu.Lock()
	defer record.orderMu.Unlock()
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
		Loading: record.loading,
		Obeyed:  slices.Clone(record.obeyed),
	}
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.OrderState())
}
