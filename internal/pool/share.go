package pool

import "time"

// vmCountTTL is how long a VM that has left the pool counts among those that share the limits of endpoints. It may use
// another steward, and only time shows that it is gone.
const vmCountTTL = time.Minute

// VMCount is a number of VMs in a message, with how long ago it was counted.
type VMCount struct {
	VMs int
	Ago time.Duration
}

// vmCount is the largest number of VMs that have lately used the pool, with whatever steward.
type vmCount struct {
	vms       int
	countedAt time.Time
}

// observe records a number of VMs that was counted at a time.
func (c *vmCount) observe(vms int, at, now time.Time) {
	if now.Sub(at) > vmCountTTL {
		return
	}
	if vms > c.vms || vms == c.vms && at.After(c.countedAt) || now.Sub(c.countedAt) > vmCountTTL {
		c.vms = vms
		c.countedAt = at
	}
}

// receive records the count in a message.
func (c *vmCount) receive(count VMCount, now time.Time) {
	if count.VMs > 0 {
		c.observe(count.VMs, now.Add(-count.Ago), now)
	}
}

// message returns the count for a message.
func (c *vmCount) message(now time.Time) VMCount {
	return VMCount{
		VMs: c.vms,
		Ago: now.Sub(c.countedAt),
	}
}

// countSessions sets the share of the endpoints' limits that this steward may use: that of the VMs that are registered here
// among all. Several stewards may act at a time, as VMs that cannot reach the highest-ranked one choose another. The lock
// must be held.
func (st *steward) countSessions(now time.Time) {
	if len(st.sessions) == 0 {
		return
	}
	st.vms.observe(len(st.sessions), now, now)
	st.shareAllowances(now)
	st.pool.SetShare(float64(len(st.sessions))/float64(st.vms.vms), now)
}

// SetShare sets the part of the endpoints' limits that may be used.
func (p *Pool) SetShare(share float64, now time.Time) {
	if share == p.share {
		return
	}
	p.share = share
	for _, e := range p.endpoints {
		e.allowance.setShare(share, now)
	}
}

// VMs returns the VMs that use this one as the steward of a service.
func (s *Stewards) VMs() map[VMName]bool {
	vms := map[VMName]bool{}
	for _, st := range s.all() {
		st.addVMs(vms)
	}
	return vms
}

func (st *steward) addVMs(vms map[VMName]bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for vm := range st.sessions {
		vms[vm] = true
	}
}
