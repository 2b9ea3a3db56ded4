package pool

import (
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

// Methods of the steward's service between VMs.
const (
	ServiceName  = "Pool"
	MethodTell   = "Pool.Tell"
	MethodListen = "Pool.Listen"
	MethodLeave  = "Pool.Leave"
	MethodPing   = "Pool.Ping"
)

// Session names what one VM told one steward since it last registered.
type Session uint64

// Ask is a ticket as sent; times are relative, as clocks of VMs are not compared.
type Ask struct {
	ID        TicketID
	Class     Class
	Rank      int
	Begun     bool
	StartIn   time.Duration
	ExpiresIn time.Duration
	Avoid     []inventory.ID
}

// Held is a ticket that holds a slot.
type Held struct {
	Ask      Ask
	Endpoint inventory.ID
}

// Returned is a slot that was given back.
type Returned struct {
	ID      TicketID
	Trouble Trouble
}

// Seen is what a VM saw of a run that goes on; First is the time until its first event, or zero.
type Seen struct {
	ID      TicketID
	Trouble Trouble
	First   time.Duration
}

// From says who tells or listens.
type From struct {
	Service route.Service
	VM      VMName
	Session Session
}

// TellArgs tells a steward what changed at a VM. A full one states everything and starts the session.
type TellArgs struct {
	From      From
	Full      bool
	Domain    inventory.Domain
	Held      []Held
	Asks      []Ask
	Seen      []Seen
	Returned  []Returned
	Withdrawn []TicketID
}

// ListenArgs waits for outcomes.
type ListenArgs struct {
	From From
	Wait time.Duration
}

// PingArgs asks whether a VM can hold a pool.
type PingArgs struct {
	Service route.Service
}

// LeaveArgs ends a session.
type LeaveArgs struct {
	From From
}

// Reply carries outcomes for the VM.
type Reply struct {
	Outcomes []Outcome
	// Unknown says that the steward does not know the session, so that the VM must register again.
	Unknown bool
	// Retiring says that the steward shuts down, so that the VM should go to another one.
	Retiring bool
}
