package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbrudder/internal/tablestore"
)

// Role says what a process does.
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

// ID names a member's incarnation; a process that starts anew is another member.
type ID string

// Sequence orders what is said of a member; only the member itself raises it.
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

// ID names the member's incarnation.
func (m Member) ID() string {
	return string(m.Role) + "/" + string(m.VM) + "/" + m.Incarnation
}

// Owner returns the member with the highest rendezvous weight for the name, and whether there is any.
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

// News is something said of a member.
type News struct {
	Member   Member
	Sequence Sequence
	// Leaving is sticky: it holds whatever the sequence.
	Leaving bool
	// Lost says that the teller holds the member for lost; who does not know the member need not learn of it.
	Lost bool
	// Suspects are the watchers that find the member silent at the sequence.
	Suspects []ID
}

// record is what is known of another member.
type record struct {
	id       ID
	member   Member
	sequence Sequence
	leaving  bool
	lost     bool
	suspects map[ID]bool
	// heard is when the member last answered this process, changed when it was lost or found.
	heard   time.Time
	changed time.Time
	misses  int
}

// news returns what the record says.
func (r *record) news() News {
	news := News{
		Member:   r.member,
		Sequence: r.sequence,
		Leaving:  r.leaving,
		Lost:     r.lost,
	}
	for id := range r.suspects {
		news.Suspects = append(news.Suspects, id)
	}
	return news
}

// doubted reports whether the member is suspected or lost.
func (r *record) doubted() bool {
	return r.lost || len(r.suspects) > 0
}
