package standin

import (
	"io"
	"net/http"
	"time"

	"rhubarbrudder/internal/endpoint"
)

// Plain is a stand-in for a plain service. Every request counts as a side effect and is kept in the record.
type Plain struct {
	Delay         time.Duration
	Record        *Record
	Misbehaviours *Misbehaviours
}

// NewPlain returns a service whose calls take the given time.
func NewPlain(delay time.Duration) *Plain {
	return &Plain{
		Delay:         delay,
		Record:        NewRecord(),
		Misbehaviours: &Misbehaviours{},
	}
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	RequestID string
	Path      string
	Body      string
}

// Handler returns the service's HTTP handler.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /record", p.Record)
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		dropConnection()
	}
	misbehaviour := p.Misbehaviours.take()
	if misbehaviour.Kind == MisbehaviourRefuse {
		w.Header().Set("Rhubarbrudder-Outcome", "not run")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	run := p.Record.start(r, 0)
	defer run.end(r)
	if !sleep(r.Context(), p.Delay) {
		return
	}
	run.markFinished()
	id := r.Header.Get(endpoint.HeaderRequestID)
	switch misbehaviour.Kind {
	case MisbehaviourDrop:
		dropConnection()
	case MisbehaviourStall:
		<-r.Context().Done()
		return
	case MisbehaviourCrossed:
		id = crossedID
	default:
	}
	w.Header().Set(endpoint.HeaderRequestID, id)
	writeJSON(w, http.StatusOK, PlainAnswer{
		RequestID: r.Header.Get(endpoint.HeaderRequestID),
		Path:      r.URL.Path,
		Body:      string(body),
	})
}
