package pool

import (
	"time"

	"rhubarbrudder/internal/allowance"
	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

// Names of the steward's net/rpc service and its methods. Tell is the wire name of the method that takes updates.
const (
	ServiceName  = "Pool"
	MethodUpdate = "Pool.Tell"
	MethodListen = "Pool.Listen"
	MethodLeave  = "Pool.Leave"
	MethodPing   = "Pool.Ping"
)

// SessionID identifies a session of a VM with a steward. It starts when the VM registers.
type SessionID uint64

// WireTicket is a Ticket in a message. Its times are relative because the clocks of VMs are not synchronised.
type WireTicket struct {
	ID        TicketID
	Class     Class
	Rank      int
	Begun     bool
	StartIn   time.Duration
	ExpiresIn time.Duration
	Avoid     []inventory.ID
	Prompt    []prompt.PartID
	// The fields that follow are absent in a deployment without organisations.
	Organisation route.OrganisationID
	Cost         Cost
	Admitted     bool
	// AdmitOnly means that the request is only to be counted, as another service's steward grants its slot.
	AdmitOnly bool
}

// ticket returns the ticket with times of this VM's clock.
func (a WireTicket) ticket(args UpdateArgs, now time.Time) Ticket {
	return Ticket{
		ID:           a.ID,
		VM:           args.From.VM,
		Class:        a.Class,
		Rank:         a.Rank,
		Begun:        a.Begun,
		Start:        now.Add(a.StartIn),
		Expires:      now.Add(a.ExpiresIn),
		Avoid:        a.Avoid,
		Prompt:       a.Prompt,
		Domain:       args.Domain,
		Organisation: a.Organisation,
		Cost:         a.Cost,
		Admitted:     a.Admitted,
	}
}

// HeldSlot is a slot that a VM holds when it registers. Ask is the ticket to which it was granted.
type HeldSlot struct {
	Ask      WireTicket
	Endpoint inventory.ID
}

// ReturnedSlot is a slot that a VM has returned. The fields after ID are those of Ending.
type ReturnedSlot struct {
	ID       TicketID
	Trouble  Trouble
	Complete bool
	Begun    bool
	Answered time.Duration
}

// Observation is what a VM observed of a run that continues. First is the time to its first event, or zero.
type Observation struct {
	ID      TicketID
	Trouble Trouble
	First   time.Duration
}

// Sender identifies the sender of a message.
type Sender struct {
	Service route.Service
	VM      VMName
	Session SessionID
}

// UpdateArgs reports to a steward what changed at a VM since the last update: new tickets in Asks, observations in Seen,
// released slots in Returned, and requests that ended before the VM learned of a slot in Withdrawn. If Full is set, it
// starts a session and holds the VM's whole state instead: all waiting tickets in Asks and its slots in Held.
type UpdateArgs struct {
	From      Sender
	Full      bool
	Domain    inventory.Domain
	Held      []HeldSlot
	Asks      []WireTicket
	Seen      []Observation
	Returned  []ReturnedSlot
	Withdrawn []TicketID
	// Limits holds the limits in the answers of endpoints since the last update.
	Limits []LimitReport
	// Leaving holds the endpoints that have said since the last update that they leave, or at any time if Full is set.
	Leaving []inventory.Lifetime
	// VMs is how many VMs use the pool as far as the VM knows, if Full is set.
	VMs VMCount
	// Quarantine holds the listed parts that the VM knows, Remembered what it has lately observed of parts, if Full is set.
	Quarantine []quarantine.Entry
	Remembered quarantine.Report
	// Admitted holds the requests of organisations that the VM was granted within the last window, if Full is set.
	Admitted *allowance.Report
	// Unused holds the organisation of each request that was counted and does not run.
	Unused []route.OrganisationID
	// Concurrency holds the run limits below the slots that the VM knows, if Full is set.
	Concurrency []ConcurrencyReport
}

// ListenArgs requests outcomes and how long to wait for some.
type ListenArgs struct {
	From Sender
	Wait time.Duration
}

// PingArgs asks whether a VM can hold a pool.
type PingArgs struct {
	Service route.Service
}

// LeaveArgs ends a session.
type LeaveArgs struct {
	From Sender
}

// Reply returns outcomes to the VM.
type Reply struct {
	Outcomes []Outcome
	// Unknown means that the steward does not know the session and the VM must register again.
	Unknown bool
	// Retiring means that the steward is shutting down and the VM should use another one.
	Retiring bool
	// Uptime is how long the VM has run. It is set in replies to pings.
	Uptime time.Duration
	// VMs is how many VMs use the pool.
	VMs VMCount
	// Quarantine holds the listed parts that the steward knows, if they have changed.
	Quarantine []quarantine.Entry
	// Leaving holds endpoints that leave, as other VMs have heard.
	Leaving []inventory.Lifetime
	// Concurrency holds the run limits that the steward has changed.
	Concurrency []ConcurrencyReport
}
