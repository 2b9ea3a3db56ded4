package order

import (
	"cmp"
	"slices"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

// engine is an engine as seen by an issuer.
type engine struct {
	endpoint endpoint.Endpoint
	// reached says that the engine answered and its state is known.
	reached bool
	state   State
	// busy says that an order of this issuer is in progress.
	busy bool
}

// serving reports whether the engine serves some version of the model.
func (e engine) serving(model document.ModelName) bool {
	return e.reached && !e.busy && !e.state.Loading && e.state.Current.Model == model
}

// step is an order to be sent: an engine and the state that it should reach.
type step struct {
	endpoint endpoint.Endpoint
	wanted   Desired
	// mustDrain says that the engine must finish its requests first.
	mustDrain bool
	// mustLoad says that the engine must load weights.
	mustLoad bool
}

// plan returns the orders that may be sent now. As many engines as the service wants are to serve its model, with
// preference for those that already do, and the others nothing. Enough engines keep serving that no more than the share
// MaximumUnavailable of the wanted number is out of service.
func plan(service document.Service, wanted Desired, engines []engine) []step {
	ranked := slices.Clone(engines)
	slices.SortStableFunc(ranked, func(a, b engine) int {
		return cmp.Or(
			cmp.Compare(rank(a, wanted), rank(b, wanted)),
			cmp.Compare(a.endpoint.ID, b.endpoint.ID),
		)
	})
	serving := 0
	for _, candidate := range ranked {
		if candidate.serving(service.Model) {
			serving++
		}
	}
	minServing := service.Endpoints - int(service.MaximumUnavailable*float64(service.Endpoints))
	var steps []step
	for i, candidate := range ranked {
		goal := wanted
		if i >= service.Endpoints {
			goal = Desired{}
		}
		if candidate.busy || !candidate.reached || candidate.state.matches(goal) {
			continue
		}
		next := step{
			endpoint: candidate.endpoint,
			wanted:   goal,
			mustLoad: candidate.state.mustLoad(goal) && goal.Model != "",
		}
		if candidate.serving(service.Model) && candidate.state.mustLoad(goal) {
			if serving-1 < minServing {
				continue
			}
			serving--
			next.mustDrain = true
		}
		steps = append(steps, next)
	}
	return steps
}

// rank orders engines by how close they are to the desired state; lower is closer.
func rank(e engine, wanted Desired) int {
	switch {
	case e.reached && e.state.matches(wanted):
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
