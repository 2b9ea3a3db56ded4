package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
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

type orderState struct {
	state *orderRecord
}

type orderRecord struct {
	mu      sync.Mutex
	current EngineOrder
	models  []string
	obeyed  []EngineOrder
}

func newOrderState(models []string) orderState {
	return orderState{
		state: &orderRecord{
			models: models,
		},
	}
}

func (o orderState) serves(model string) bool {
	return slices.Contains(o.names(), model)
}

func (o orderState) names() []string {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	names := slices.Clone(o.state.models)
	names = append(names, o.state.current.Adapters...)
	if o.state.current.Model != "" {
		names = append(names, o.state.current.Model)
	}
	return names
}

// serveOrder obeys an order, unless the engine checks fencing numbers and the order's is old.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := e.orders.state
	record.mu.Lock()
	defer record.mu.Unlock()
	if e.options.ChecksFence && order.Fence < record.current.Fence {
		writeJSON(w, http.StatusConflict, record.current)
		return
	}
	record.current = order
	record.obeyed = append(record.obeyed, order)
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	record := e.orders.state
	record.mu.Lock()
	defer record.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		Current EngineOrder
		Obeyed  []EngineOrder
	}{
		Current: record.current,
		Obeyed:  record.obeyed,
	})
}
