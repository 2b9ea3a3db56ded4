package endpoint

import "time"

// DrainArgs says for how long an endpoint shall get no new work; zero ends it.
type DrainArgs struct {
	ID           ID
	Milliseconds int64
	// Fence is the fencing number of who drains; an older one changes nothing.
	Fence int64
}

// drain is until when an endpoint takes no new work, and by which fencing number.
type drain struct {
	until time.Time
	fence int64
}

// MethodDrain is the name of the method that drains an endpoint.
const MethodDrain = "Endpoint.Drain"

// Drain keeps new work from an endpoint for a time; unlike leaving, it ends by itself.
func (d *Directory) Drain(args DrainArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if args.Fence < d.drained[args.ID].fence {
		return
	}
	if d.drained == nil {
		d.drained = map[ID]drain{}
	}
	rest := time.Duration(args.Milliseconds) * time.Millisecond
	until := time.Now().Add(rest)
	d.drained[args.ID] = drain{
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

// endDrain ends a drain unless it was renewed.
func (d *Directory) endDrain(id ID, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained[id].until.Equal(until) {
		d.rebuild()
	}
}

// Drain drains an endpoint for a peer.
func (s *Service) Drain(args DrainArgs, _ *struct{}) error {
	s.directory.Drain(args)
	return nil
}
