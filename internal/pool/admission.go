package pool

import (
	"log/slog"
	"slices"
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/route"
)

// activeTime is how long after its last call a VM counts as using this steward. A VM that waits for outcomes calls again
// within listenWait, and elects another steward if there is no answer after callSlack.
const activeTime = listenWait + callSlack + 30*time.Millisecond

// unsureRetryAfter is how long requests are refused by a steward whose VM has no configuration, or one with another home
// service than that of the VM that asks. Configurations reach VMs within that time, unless they are cut off.
const unsureRetryAfter = 200 * time.Millisecond

// admission applies the limits of organisations at a steward.
type admission struct {
	limits  Limits
	window  time.Duration
	service route.Service
	ledger  *allowance.Ledger
	// started is when this VM started. Until vmCountTTL after that, it can't know how many VMs use the pool.
	started time.Time
	// config is the configuration whose limits the ledger has, and home whether this service is the home service in it.
	config *route.Config
	home   bool
	// reserved holds the waiting tickets that have a token.
	reserved map[key]route.OrganisationID
	// refused holds the organisations that were refused within the window.
	refused map[route.OrganisationID]refusedRequests
	// logged is when logRecovered last looked for organisations that are no longer refused.
	logged time.Time
	// deferral holds the tickets that may find a token in a moment.
	deferral deferral
	log      *slog.Logger
}

// refusedRequests is the number of refused requests of an organisation and the time of the last one.
type refusedRequests struct {
	count int
	last  time.Time
}

// newAdmission returns the admission of a service, or nil if the limits of organisations are not applied.
func (s *Stewards) newAdmission(service route.Service) *admission {
	if s.allowances == nil {
		return nil
	}
	return &admission{
		limits:   s.allowances.limits,
		window:   s.allowances.window,
		service:  service,
		ledger:   allowance.NewLedger(s.allowances.window, time.Now()),
		started:  s.started,
		reserved: map[key]route.OrganisationID{},
		refused:  map[route.OrganisationID]refusedRequests{},
		log:      s.log,
	}
}

// sync applies the configuration in force at this VM.
func (a *admission) sync(now time.Time) {
	config := a.limits.Current()
	if config == nil || config == a.config {
		return
	}
	home := config.HomeService() == a.service
	if a.config != nil && home && !a.home {
		// Another steward has counted until now, and may do so for a moment.
		a.ledger.Empty(now)
	}
	a.config = config
	a.home = home
	a.ledger.SetLimits(config.Organisations, now)
}

// shareAllowances sets the part of the limits that this steward may use: that of the VMs that call it among all. A VM that has
// been silent for activeTime may have found another steward, which uses its part.
func (st *steward) shareAllowances(now time.Time) {
	a := st.admission
	if a == nil {
		return
	}
	active := 0
	for _, sess := range st.sessions {
		if now.Sub(sess.lastCall) < activeTime {
			active++
		}
	}
	all := max(len(st.sessions), st.vms.vms)
	if now.Sub(a.started) < vmCountTTL {
		all = max(all, a.limits.Size())
	}
	a.deferral.incomplete = active < all
	a.ledger.SetShare(float64(active)/float64(all), all)
	a.logRecovered(now)
}

// logRecovered logs the organisations that were not refused within the window any more.
func (a *admission) logRecovered(now time.Time) {
	if now.Sub(a.logged) < a.window/4 {
		return
	}
	a.logged = now
	for id, refused := range a.refused {
		if now.Sub(refused.last) > a.window {
			a.log.Info("organisation within its allowance", "service", a.service, "organisation", id, "refused", refused.count)
			delete(a.refused, id)
		}
	}
}

// restore prepares the admission for the registration of a VM: it cancels what the VM's last session left and adds the
// history that the VM reports.
func (st *steward) restore(args UpdateArgs, now time.Time) {
	a := st.admission
	if a == nil {
		return
	}
	for i := range args.Asks {
		// The VM has not received the grant.
		st.refundRun(key{vm: args.From.VM, id: args.Asks[i].ID}, now)
	}
	st.cancelReservations(args.From.VM, now)
	a.deferral.registered = now
	a.sync(now)
	if a.config == nil || a.config.HasOrganisations() {
		a.ledger.Restore(allowance.VM(args.From.VM), args.Admitted, now)
	}
}

// admit takes a token for a ticket and reports whether the ticket is to be queued. Otherwise the session has its outcome, or
// will have it.
func (st *steward) admit(asked *WireTicket, args UpdateArgs, sess *session, now time.Time) bool {
	a, k := st.admission, key{vm: args.From.VM, id: asked.ID}
	outcome := Outcome{
		Kind:   OutcomeAdmit,
		VM:     k.vm,
		Ticket: k.id,
	}
	if a != nil && counts(asked.Organisation, asked.Class, asked.Admitted) && !st.knows(k) {
		a.sync(now)
		switch {
		case a.unsure(asked.Organisation):
			sess.outcomes = append(sess.outcomes, overAllowance(k, unsureRetryAfter))
			return false
		case !a.ledger.Reserve(asked.Organisation, now):
			if !st.deferTicket(asked, args, now) {
				sess.outcomes = append(sess.outcomes, overAllowance(k, a.refuse(asked.Organisation, now)))
			}
			return false
		case !a.ledger.Limited(asked.Organisation):
		case asked.AdmitOnly:
			a.ledger.Spend(asked.Organisation, now)
			outcome.CountedBy = a.ledger.ID()
			outcome.Organisation = asked.Organisation
		default:
			a.reserved[k] = asked.Organisation
		}
	}
	if asked.AdmitOnly {
		sess.outcomes = append(sess.outcomes, outcome)
	}
	return !asked.AdmitOnly
}

// knows reports whether a ticket waits or runs.
func (st *steward) knows(k key) bool {
	_, waits := st.pool.waiting[k]
	return waits || st.pool.runs[k] != nil || slices.ContainsFunc(st.admission.deferral.tickets, func(t Ticket) bool {
		return t.key() == k
	})
}

// unsure reports whether this steward can't tell if another one counts the organisation's requests.
func (a *admission) unsure(id route.OrganisationID) bool {
	return a.config == nil || a.ledger.Limited(id) && !a.home
}

// refuse records that a request of an organisation is refused and returns for how long further ones are.
func (a *admission) refuse(id route.OrganisationID, now time.Time) time.Duration {
	retryAfter := a.ledger.RetryAfter(id, now)
	before, known := a.refused[id]
	if !known {
		a.log.Info("organisation over its allowance", "service", a.service, "organisation", id, "retry_ms", retryAfter.Milliseconds())
	}
	a.refused[id] = refusedRequests{
		count: before.count + 1,
		last:  now,
	}
	return retryAfter
}

// settle spends the token of a ticket that is granted a slot, and cancels that of one that is refused.
func (st *steward) settle(outcome *Outcome, now time.Time) {
	a := st.admission
	if a == nil || outcome.Kind == OutcomeRevoke {
		return
	}
	k := key{vm: outcome.VM, id: outcome.Ticket}
	id, reserved := a.reserved[k]
	if !reserved {
		return
	}
	delete(a.reserved, k)
	if outcome.Kind == OutcomeGrant {
		a.ledger.Spend(id, now)
		outcome.CountedBy = a.ledger.ID()
		return
	}
	a.ledger.Cancel(id, now)
}

// returnTokens returns the tokens of tickets that were withdrawn before they ran. It must be called before the tickets are
// removed from the pool.
func (st *steward) returnTokens(args *UpdateArgs, now time.Time) {
	a := st.admission
	if a == nil {
		return
	}
	for _, id := range args.Withdrawn {
		k := key{vm: args.From.VM, id: id}
		st.cancelReservation(k, now)
		st.refundRun(k, now)
	}
	for _, returned := range args.Returned {
		st.cancelReservation(key{vm: args.From.VM, id: returned.ID}, now)
	}
	for _, id := range args.Unused {
		a.ledger.Refund(id, now)
	}
}

// refundRun returns the token of a run that the VM has not begun.
func (st *steward) refundRun(k key, now time.Time) {
	r := st.pool.runs[k]
	if r != nil && counts(r.ticket.Organisation, r.ticket.Class, r.ticket.Admitted) {
		st.admission.ledger.Refund(r.ticket.Organisation, now)
	}
}

func (st *steward) cancelReservation(k key, now time.Time) {
	st.admission.deferral.remove(func(deferred key) bool {
		return deferred == k
	})
	if id, reserved := st.admission.reserved[k]; reserved {
		delete(st.admission.reserved, k)
		st.admission.ledger.Cancel(id, now)
	}
}

// cancelReservations cancels those of all waiting tickets of a VM.
func (st *steward) cancelReservations(vm VMName, now time.Time) {
	if st.admission == nil {
		return
	}
	st.admission.deferral.remove(func(deferred key) bool {
		return deferred.vm == vm
	})
	for k := range st.admission.reserved {
		if k.vm == vm {
			st.cancelReservation(k, now)
		}
	}
}

// OrganisationsOver returns how many organisations had requests over their allowances refused within the last window.
func (s *Stewards) OrganisationsOver() int {
	over := 0
	for _, st := range s.all() {
		st.mu.Lock()
		if st.admission != nil {
			over += len(st.admission.refused)
		}
		st.mu.Unlock()
	}
	return over
}
