package standin

import (
	"io"
	"net/http"
	"sync"
)

// Misbehaviour says how an endpoint goes wrong with its next requests.
type Misbehaviour struct {
	Kind MisbehaviourKind
	// Tokens is after how many tokens of the answer an engine goes wrong.
	Tokens int
	// Times is how many requests go wrong.
	Times int
}

// MisbehaviourKind names a way to go wrong.
type MisbehaviourKind string

const (
	// MisbehaviourDrop cuts the connection; a plain service has run the call by then.
	MisbehaviourDrop MisbehaviourKind = "Drop"
	// MisbehaviourTruncate ends the answer cleanly without finish reason and end marker.
	MisbehaviourTruncate MisbehaviourKind = "Truncate"
	// MisbehaviourStall sends nothing more and keeps the connection open.
	MisbehaviourStall MisbehaviourKind = "Stall"
	// MisbehaviourCrossed goes on under another request's id.
	MisbehaviourCrossed MisbehaviourKind = "Crossed"
	// MisbehaviourNoMarker cuts the connection after the finish reason, before the end marker.
	MisbehaviourNoMarker MisbehaviourKind = "NoMarker"
	// MisbehaviourNoFinish sends the end marker without a finish reason.
	MisbehaviourNoFinish MisbehaviourKind = "NoFinish"
	// MisbehaviourRefuse makes a plain service refuse a call that it did not run.
	MisbehaviourRefuse MisbehaviourKind = "Refuse"
)

// crossedID is the request id of a crossed answer.
const crossedID = "crossed"

// Misbehaviours hands the misbehaviour in force to as many requests as it is for. Endpoints may share one.
type Misbehaviours struct {
	mu      sync.Mutex
	current Misbehaviour
}

// Set puts a misbehaviour in force.
func (m *Misbehaviours) Set(misbehaviour Misbehaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = misbehaviour
}

func (m *Misbehaviours) take() Misbehaviour {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Times == 0 {
		return Misbehaviour{}
	}
	m.current.Times--
	return m.current
}

// misbehave goes wrong after the given number of tokens and reports whether the answer goes on.
func (g *generation) misbehave(w http.ResponseWriter, r *http.Request, tokens int) bool {
	if g.misbehaviour.Tokens != tokens {
		return true
	}
	switch g.misbehaviour.Kind {
	case MisbehaviourDrop:
		dropConnection()
	case MisbehaviourTruncate:
		return false
	case MisbehaviourNoFinish:
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		return false
	case MisbehaviourStall:
		<-r.Context().Done()
		return false
	case MisbehaviourCrossed:
		g.id = crossedID
		g.prompt = crossedID
	default:
	}
	return true
}
