package order

import (
	"cmp"
	"slices"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

// engine is an engine as an issuer sees it.
type engine struct {
	endpoint endpoint.Endpoint
	// reached says that the state is known.
	reached bool
	state   State
	// busy says that an order of this issuer is under way.
	busy bool
}

// serving reports whether the engine serves some version of the model.
func (e engine) serving(model document.ModelName) bool {
	return e.reached && !e.busy && !e.state.Loading && e.state.Current.Model == model
}

// step is an engine and what it shall be ordered to serve next.
type step struct {
	endpoint endpoint.Endpoint
	wanted   Desired
	// drains says that the engine must finish its requests first.
	drains bool
	// loads says that weights are loaded.
	loads bool
}

// plan returns the orders that may be given now: as many engines as the service wants hold its model, those that hold it
// already before others, the rest nothing; and so many keep serving that no more than the stated share is out.
func plan(service document.Service, wanted Desired, engines []engine) []step {
	chosen := slices.Clone(engines)
	slices.SortStableFunc(chosen, func(a, b engine) int {
		return cmp.Or(
			cmp.Compare(rank(a, wanted), rank(b, wanted)),
			cmp.Compare(a.endpoint.ID, b.endpoint.ID),
		)
	})
	serving := 0
	for _, candidate := range chosen {
		if candidate.serving(service.Model) {
			serving++
		}
	}
	least := service.Endpoints - int(service.MaximumUnavailable*float64(service.Endpoints))
	var steps []step
	for i, candidate := range chosen {
		goal := wanted
		if i >= service.Endpoints {
			goal = Desired{}
		}
		if candidate.busy || !candidate.reached || candidate.state.holds(goal) {
			continue
		}
		next := step{
			endpoint: candidate.endpoint,
			wanted:   goal,
			loads:    candidate.state.loads(goal) && goal.Model != "",
		}
		if candidate.serving(service.Model) && candidate.state.loads(goal) {
			if serving-1 < least {
				continue
			}
			serving--
			next.drains = true
		}
		steps = append(steps, next)
	}
	return steps
}

// rank orders engines by how near they are to the desired state.
func rank(e engine, wanted Desired) int {
	switch {
	case e.reached && e.state.holds(wanted):
		return 0
	case e.busy:
		return 1
	case e.serving(wanted.Model):
		return 2
	case e.reached:
		return 3
	}
	return 4
}
