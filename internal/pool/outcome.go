package pool

import (
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

// OutcomeKind is the kind of a decision.
type OutcomeKind int

const (
	// OutcomeGrant gives a ticket a slot.
	OutcomeGrant OutcomeKind = iota
	// OutcomeRevoke asks the VM to return the slot of a batch run.
	OutcomeRevoke
	// OutcomeRefuse means that the ticket gets no slot before it expires.
	OutcomeRefuse
	// OutcomeAdmit means that a request that is only to be counted was counted.
	OutcomeAdmit
)

// String names the decision, for logs.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeGrant:
		return "grant"
	case OutcomeRevoke:
		return "revoke"
	case OutcomeRefuse:
		return "refuse"
	case OutcomeAdmit:
		return "admit"
	}
	return "unknown"
}

// Outcome is a decision on a ticket of a VM.
type Outcome struct {
	Kind   OutcomeKind
	VM     VMName
	Ticket TicketID
	// Endpoint is where a granted ticket runs.
	Endpoint inventory.Endpoint
	// Limited means that the endpoint names a limit on its requests.
	Limited bool
	// Learning means that the steward learns from the endpoint's next answers how many runs it takes.
	Learning bool
	// RetryAfter is how long the caller should wait after a refusal before it retries.
	RetryAfter time.Duration
	// Withheld means that the ticket was refused because endpoints crash at a part of its prompt.
	Withheld bool
	// OverAllowance means that the ticket was refused because its organisation has used up its allowance.
	OverAllowance bool
	// position is for the log: see Outcome.logger.
	position *position
	// CountedBy is the ledger that counted a granted request against the allowance of its organisation, or zero.
	CountedBy allowance.LedgerID
	// Organisation is that of a request that was only counted.
	Organisation route.OrganisationID
}
