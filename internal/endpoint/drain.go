package endpoint

import "time"

// DrainArgs asks that an endpoint get no new work for a time. A time of zero ends the drain.
type DrainArgs struct {
	ID           ID
	Milliseconds int64
	// Fence is the fencing token of the process that drains the endpoint. A drain with an older one is ignored.
	Fence int64
}

// drain is the time until which an endpoint takes no new work, and the fencing token of the process that requested it.
type drain struct {
	until time.Time
	fence int64
}

// MethodDrain is the name of the net/rpc method that drains an endpoint.
const MethodDrain = "Endpoint.Drain"

// Drain keeps new work from an endpoint for a time. Unlike leaving, a drain ends by itself.
func (d *Directory) Drain(args DrainArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if args.Fence < d.drains[args.ID].fence {
		return
	}
	if d.drains == nil {
		d.drains = map[ID]drain{}
	}
	rest := time.Duration(args.Milliseconds) * time.Millisecond
	until := time.Now().Add(rest)
	d.drains[args.ID] = drain{
		until: until,
		fence: args.Fence,
	}
	d.rebuild()
	if rest > 0 {
		time.AfterFunc(rest, func() {
			d.endDrain(args.ID, until)
		})
	}
}

// endDrain ends a drain unless it has been renewed.
func (d *Directory) endDrain(id ID, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drains[id].until.Equal(until) {
		d.rebuild()
	}
}

// Drain drains an endpoint on behalf of a peer.
func (s *Service) Drain(args DrainArgs, _ *struct{}) error {
	s.directory.Drain(args)
	return nil
}
