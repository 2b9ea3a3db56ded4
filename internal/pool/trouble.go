package pool

import (
	"time"

	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
)

// Trouble is the failure, if any, that a VM observed at an endpoint. Messages and log lines call it trouble.
type Trouble int

const (
	// TroubleNone means that no failure was observed.
	TroubleNone Trouble = iota
	// TroubleUnreachable means that no connection could be made.
	TroubleUnreachable
	// TroubleBroken means that a connection broke, or went silent where silence does not count against the endpoint.
	TroubleBroken
	// TroubleSilent means that the endpoint sent nothing for too long.
	TroubleSilent
	// TroubleFull means that the endpoint rejected a request.
	TroubleFull
	// TroubleLeaving means that the endpoint takes no new work, as far as the VM knows.
	TroubleLeaving
	// TroubleUnknown means that the run ended for a reason that says nothing about the endpoint.
	TroubleUnknown
	// TroubleCrashed means that a connection broke at the beginning of an answer and the endpoint accepts no other.
	TroubleCrashed
)

// Ending is what a VM observed at the end of a run.
type Ending struct {
	Trouble Trouble
	// Complete means that the request was answered, completely and with success.
	Complete bool
	// Begun means that an answer began, Answered is how long its content had been arriving.
	Begun    bool
	Answered time.Duration
}

// AnswerBeginning is how long the content of an answer arrives until its beginning is over. A request at which the
// endpoint crashes gets no further.
const AnswerBeginning = 300 * time.Millisecond

// Sound reports whether the answer was complete or got beyond its beginning.
func (e Ending) Sound() bool {
	return e.Complete || e.Answered >= AnswerBeginning
}

// lostRun returns the run with this ending for the evidence about the parts of its prompt.
func (e Ending) lostRun(parts []prompt.PartID, granted time.Time) quarantine.LostRun {
	return quarantine.LostRun{
		Parts:    parts,
		Granted:  granted,
		Begun:    e.Begun,
		Answered: e.Answered,
	}
}

// String names the trouble, for logs.
func (t Trouble) String() string {
	names := map[Trouble]string{
		TroubleNone:        "none",
		TroubleUnreachable: "unreachable",
		TroubleBroken:      "broken",
		TroubleSilent:      "silent",
		TroubleFull:        "full",
		TroubleLeaving:     "leaving",
		TroubleUnknown:     "unknown",
		TroubleCrashed:     "crashed",
	}
	return names[t]
}
