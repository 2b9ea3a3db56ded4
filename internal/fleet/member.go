package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/tablestore"
)

// Role is the role of a process in the system.
type Role string

const (
	// RoleGateway serves callers.
	RoleGateway Role = "Gateway"
	// RoleDispatcher runs batch jobs.
	RoleDispatcher Role = "Dispatcher"
	// RoleController serves operators.
	RoleController Role = "Controller"
)

// Roles lists the roles.
func Roles() []Role {
	return []Role{RoleGateway, RoleDispatcher, RoleController}
}

// ID identifies an incarnation of a member. A process that restarts is another member.
type ID string

// Sequence orders the updates about a member. Only the member itself raises it.
type Sequence int64

// Member is a process of the system.
type Member struct {
	Role          Role
	VM            tablestore.VMName
	Incarnation   string
	Address       string
	Region        tablestore.Region
	FailureDomain tablestore.FailureDomain
}

// ID returns the id of the member's incarnation.
func (m Member) ID() string {
	return string(m.Role) + "/" + string(m.VM) + "/" + m.Incarnation
}

// Owner returns the member with the highest weight for the name by rendezvous hashing, and whether there is any member.
func Owner(members []Member, name string) (Member, bool) {
	var owner Member
	var highest uint64
	found := false
	for _, member := range members {
		weight := xxhash.Sum64String(member.ID() + "\x00" + name)
		if !found || weight > highest {
			owner, highest, found = member, weight, true
		}
	}
	return owner, found
}

// MemberUpdate describes the state of a member, as one process passes it on to another.
type MemberUpdate struct {
	Member   Member
	Sequence Sequence
	// Leaving is sticky: once set, it holds for every sequence.
	Leaving bool
	// Lost says that the sender considers the member lost. A receiver that does not know the member ignores the update.
	Lost bool
	// Suspects holds the watchers that suspect this member of being silent at the sequence, not suspected members.
	Suspects []ID
}

// record holds what this process knows about another member.
type record struct {
	id       ID
	member   Member
	sequence Sequence
	leaving  bool
	lost     bool
	// suspectedBy holds the watchers that suspect the member.
	suspectedBy map[ID]bool
	// lastAnswer is when the member last answered this process, changed when it was last lost or found.
	lastAnswer time.Time
	changed    time.Time
	// misses is the number of consecutive heartbeats to the member without an answer.
	misses int
}

// update returns the content of the record as an update.
func (r *record) update() MemberUpdate {
	update := MemberUpdate{
		Member:   r.member,
		Sequence: r.sequence,
		Leaving:  r.leaving,
		Lost:     r.lost,
	}
	for id := range r.suspectedBy {
		update.Suspects = append(update.Suspects, id)
	}
	return update
}

// suspectedOrLost reports whether the member is suspected or lost.
func (r *record) suspectedOrLost() bool {
	return r.lost || len(r.suspectedBy) > 0
}
