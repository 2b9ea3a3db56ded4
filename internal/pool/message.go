package pool

import (
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/route"
)

// Names of the steward's net/rpc service and its methods.
const (
	ServiceName  = "Pool"
	MethodTell   = "Pool.Tell"
	MethodListen = "Pool.Listen"
	MethodLeave  = "Pool.Leave"
	MethodPing   = "Pool.Ping"
)

// Session identifies a session of a VM with a steward. It starts when the VM registers.
type Session uint64

// Ask is a ticket in a message. Its times are relative because the clocks of VMs are not synchronised.
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

// Returned is a slot that a VM has returned.
type Returned struct {
	ID      TicketID
	Trouble Trouble
}

// Seen is what a VM observed of a run that continues. First is the time to its first event, or zero.
type Seen struct {
	ID      TicketID
	Trouble Trouble
	First   time.Duration
}

// From identifies the sender of a message.
type From struct {
	Service route.Service
	VM      VMName
	Session Session
}

// TellArgs reports to a steward what changed at a VM. If Full is set, it holds the whole state and starts a session.
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

// ListenArgs requests outcomes and how long to wait for some.
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

// Reply returns outcomes to the VM.
type Reply struct {
	Outcomes []Outcome
	// Unknown means that the steward does not know the session and the VM must register again.
	Unknown bool
	// Retiring means that the steward is shutting down and the VM should use another one.
	Retiring bool
}
