// Package turn keeps the virtual time of start-time fair queueing: organisations that share a resource are served in the
// order of their virtual start times, so that each of them receives the same service while it has requests waiting.
package turn

// ID names a party that takes turns, such as an organisation.
type ID string

// Time is a point in virtual time or a span of it, in the unit in which the caller measures service.
type Time float64

// minPruned is the number of parties up to which entries that have no effect are kept, to save the search for them.
const minPruned = 256

// Clock is the virtual time of one resource. It is not safe for use by several goroutines.
type Clock struct {
	// virtual is the largest start time of the requests served so far.
	virtual Time
	// finish holds the virtual time at which the last request of a party ends. An entry that is not after virtual has
	// the same effect as none.
	finish map[ID]Time
	// pruneAt is the number of entries at which those without effect are deleted.
	pruneAt int
}

// NewClock returns a clock at which all parties are equal.
func NewClock() *Clock {
	return &Clock{
		finish:  map[ID]Time{},
		pruneAt: minPruned,
	}
}

// Now returns the virtual time.
func (c *Clock) Now() Time {
	return c.virtual
}

// Next returns the start time of the party's next request. A party that returns after a rest starts at the virtual time:
// it has neither credit for the time in which it sent nothing nor debt for what others left unused.
func (c *Clock) Next(id ID) Time {
	return max(c.virtual, c.finish[id])
}

// Charge adds a request of the given cost to the party's account and returns the start time of the request.
func (c *Clock) Charge(id ID, cost Time) Time {
	start := c.Next(id)
	c.finish[id] = start + cost
	if len(c.finish) > c.pruneAt {
		c.prune()
	}
	return start
}

// Advance moves the virtual time to the start time of a request that is served. It never goes back.
func (c *Clock) Advance(start Time) {
	c.virtual = max(c.virtual, start)
}

// Reset makes all parties equal. It is called when no request waits.
func (c *Clock) Reset() {
	clear(c.finish)
}

// prune deletes the entries without effect.
func (c *Clock) prune() {
	for id, finish := range c.finish {
		if finish <= c.virtual {
			delete(c.finish, id)
		}
	}
	c.pruneAt = max(minPruned, 2*len(c.finish))
}
