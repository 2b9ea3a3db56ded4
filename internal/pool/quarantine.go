package pool

import (
	"slices"
	"time"

	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

// Quarantine lists the parts of prompts at which endpoints crash.
type Quarantine interface {
	// WithheldFor returns how long requests of the service with one of the parts are still withheld, or zero.
	WithheldFor(service route.Service, parts []prompt.PartID) time.Duration
	// Learn adds entries that another VM knows; Entries returns those of all services.
	Learn(entries []quarantine.Entry)
	Entries() []quarantine.Entry
	// Listings returns the parts that are or were withheld from any service.
	Listings() []quarantine.Listing
	// Withhold lists a part that crashes endpoints of the service. Acquit takes it off the list.
	Withhold(service route.Service, part prompt.PartID)
	Acquit(service route.Service, part prompt.PartID)
}

// Verdict is what the pool has found out about a part of prompts.
type Verdict struct {
	Part prompt.PartID
	// Sound means that a request with the part was answered. Otherwise endpoints crash at it.
	Sound bool
}

// SetQuarantine replaces the listed parts and refuses the waiting tickets with a part that is withheld. The map holds
// until when each is withheld. After that, or with the zero time, the part is on probation: it is tried by one run at a
// time, and withheld again after one more crash.
func (p *Pool) SetQuarantine(parts map[prompt.PartID]time.Time, now time.Time) {
	p.quarantine = parts
	p.evidence.SetListed(parts)
	for _, class := range []Class{ClassOnline, ClassBatch} {
		queue := p.queue(class)
		*queue = slices.DeleteFunc(*queue, func(t Ticket) bool {
			return p.withhold(&t, now)
		})
	}
}

// withhold refuses a ticket and reports true if it has a part that is withheld. The ticket must not be in a queue
// afterwards.
func (p *Pool) withhold(t *Ticket, now time.Time) bool {
	var until time.Time
	for _, part := range t.Prompt {
		if at := p.quarantine[part]; at.After(until) {
			until = at
		}
	}
	if !now.Before(until) {
		return false
	}
	delete(p.waiting, t.key())
	p.outcomes = append(p.outcomes, Outcome{
		Kind:       OutcomeRefuse,
		VM:         t.VM,
		Ticket:     t.ID,
		RetryAfter: until.Sub(now),
		Withheld:   true,
	})
	return true
}

// Verdicts returns what the ended runs say about the parts of their prompts. It must be called before Decide, which may
// otherwise grant slots to tickets with a part that crashes endpoints.
func (p *Pool) Verdicts(now time.Time) []Verdict {
	verdicts := p.verdicts
	p.verdicts = nil
	for _, part := range p.evidence.Culprits(now) {
		verdicts = append(verdicts, Verdict{
			Part: part,
		})
	}
	return verdicts
}

// recordEnding passes on what the end of a run says about the parts of its prompt.
func (p *Pool) recordEnding(r *run, ending Ending, now time.Time) {
	parts := r.ticket.Prompt
	if ending.Sound() {
		p.evidence.AddAnswer(parts, now)
		for _, part := range parts {
			if _, listed := p.quarantine[part]; listed {
				p.verdicts = append(p.verdicts, Verdict{
					Part:  part,
					Sound: true,
				})
			}
		}
	}
	if e := p.endpoints[r.endpoint]; ending.Trouble == TroubleCrashed && e != nil {
		p.evidence.AddCrash(e.Lifetime(), ending.lostRun(parts, r.since), now)
	}
}

// AddReport records what a VM remembers of the parts of prompts from the time before it had this steward.
func (p *Pool) AddReport(report quarantine.Report, now time.Time) {
	p.evidence.AddReport(report, now)
}

// mustWait reports whether a ticket gets no slot for now because one of its parts may crash endpoints, and a run with
// that part has not ended or a crash in which one was lost has not been judged.
func (p *Pool) mustWait(t *Ticket) bool {
	return slices.ContainsFunc(t.Prompt, func(part prompt.PartID) bool {
		return p.evidence.Suspect(part) && (p.evidence.Unjudged(part) || p.runsWith(part))
	})
}

// runsWith reports whether a run has the part.
func (p *Pool) runsWith(part prompt.PartID) bool {
	for _, r := range p.runs {
		if slices.Contains(r.ticket.Prompt, part) {
			return true
		}
	}
	return false
}
