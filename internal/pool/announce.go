package pool

import (
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
)

// takeNews adds to the reply what the VM has not received yet.
func (st *steward) takeNews(sess *session, reply *Reply) {
	reply.VMs = st.vms.message(time.Now())
	reply.Outcomes = sess.outcomes
	sess.outcomes = nil
	if sess.quarantineChanged {
		reply.Quarantine = st.quarantine.Entries()
		sess.quarantineChanged = false
	}
	reply.Leaving = sess.leaving
	sess.leaving = nil
	reply.Concurrency = st.pool.concurrencyReports(sess.concurrency, time.Now())
}

// announceLeaving tells the VMs, once and with their next reply, that an endpoint leaves.
func (st *steward) announceLeaving(lifetime inventory.Lifetime) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.announced[lifetime] {
		return
	}
	if len(st.announced) >= maxAnnounced {
		clear(st.announced)
	}
	st.announced[lifetime] = true
	for _, sess := range st.sessions {
		sess.leaving = append(sess.leaving, lifetime)
	}
}

// judge lists the parts of prompts that have been found to crash endpoints, or takes them off the list.
func (st *steward) judge(now time.Time) {
	verdicts := st.pool.Verdicts(now)
	if len(verdicts) == 0 {
		return
	}
	for _, verdict := range verdicts {
		if verdict.Sound {
			st.quarantine.Acquit(st.service, verdict.Part)
		} else {
			st.quarantine.Withhold(st.service, verdict.Part)
		}
	}
	st.readQuarantine(now)
}

// readQuarantine applies the list of parts that crash endpoints. Those of other services are on probation here.
func (st *steward) readQuarantine(now time.Time) {
	parts := map[prompt.PartID]time.Time{}
	for _, listing := range st.quarantine.Listings() {
		if listing.Service == st.service {
			parts[listing.Part] = listing.Until
		} else if _, listed := parts[listing.Part]; !listed {
			parts[listing.Part] = time.Time{}
		}
	}
	st.pool.SetQuarantine(parts, now)
}

// quarantineChanged applies the list of parts that crash endpoints and sends it to the VMs.
func (st *steward) quarantineChanged() {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := time.Now()
	st.readQuarantine(now)
	for _, sess := range st.sessions {
		sess.quarantineChanged = true
		sess.wake()
	}
	st.decide(now, nil)
}
