package standin

import (
	"io"
	"net/http"
	"sync"
)

// Misbehaviour describes how an endpoint fails its next requests.
type Misbehaviour struct {
	Kind MisbehaviourKind
	// Tokens is the number of the answer's tokens after which an engine fails.
	Tokens int
	// Times is the number of requests that fail.
	Times int
}

// MisbehaviourKind is a kind of failure.
type MisbehaviourKind string

const (
	// MisbehaviourDrop drops the connection; a plain service has run the call by then.
	MisbehaviourDrop MisbehaviourKind = "Drop"
	// MisbehaviourTruncate ends the answer cleanly but without a finish reason and an end marker.
	MisbehaviourTruncate MisbehaviourKind = "Truncate"
	// MisbehaviourStall sends nothing more and keeps the connection open.
	MisbehaviourStall MisbehaviourKind = "Stall"
	// MisbehaviourCrossed continues the answer under the ID of another request.
	MisbehaviourCrossed MisbehaviourKind = "Crossed"
	// MisbehaviourNoMarker drops the connection after the finish reason, before the end marker.
	MisbehaviourNoMarker MisbehaviourKind = "NoMarker"
	// MisbehaviourNoFinish sends the end marker without a finish reason.
	MisbehaviourNoFinish MisbehaviourKind = "NoFinish"
	// MisbehaviourRefuse makes a plain service refuse a call without running it.
	MisbehaviourRefuse MisbehaviourKind = "Refuse"
)

// crossedID is the request ID of a crossed answer.
const crossedID = "crossed"

// Misbehaviours assigns the current misbehaviour to the next requests, as many as its Times says. Endpoints may share a
// Misbehaviours.
type Misbehaviours struct {
	mu      sync.Mutex
	current Misbehaviour
}

// Set replaces the current misbehaviour.
func (m *Misbehaviours) Set(misbehaviour Misbehaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = misbehaviour
}

// take returns the misbehaviour for the next request, which has no kind if the request is to succeed.
func (m *Misbehaviours) take() Misbehaviour {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current.Times == 0 {
		return Misbehaviour{}
	}
	m.current.Times--
	return m.current
}

// continueAfter applies the misbehaviour if it is due after the given number of tokens, and reports whether the answer
// continues.
func (g *generation) continueAfter(w http.ResponseWriter, r *http.Request, tokens int) bool {
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
