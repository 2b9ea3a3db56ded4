// Package explain keeps, in bounded memory, what a process decided about a request, job, item, endpoint or revision.
package explain

import (
	"slices"
	"sync"
	"time"
)

// Subject names what a decision was about: the id of a request, job, lot, item, endpoint or revision.
type Subject string

// Fact is one piece of the evidence of a decision.
type Fact struct {
	Name  string
	Value string
}

// Note is one decision.
type Note struct {
	At       time.Time
	By       string
	Subject  Subject
	Decision string
	Evidence []Fact
}

// Recorder keeps the latest notes of a process.
type Recorder struct {
	by    string
	mu    sync.Mutex
	notes []Note
	next  int
}

// keptNotes bounds a recorder's memory.
const keptNotes = 20000

// New returns a recorder without notes; by names the process.
func New(by string) *Recorder {
	return &Recorder{
		by: by,
	}
}

// Note keeps a decision; the oldest makes room. A nil recorder keeps nothing.
func (r *Recorder) Note(subject Subject, decision string, evidence ...Fact) {
	if r == nil {
		return
	}
	note := Note{
		At:       time.Now().UTC(),
		By:       r.by,
		Subject:  subject,
		Decision: decision,
		Evidence: evidence,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.notes) < keptNotes {
		r.notes = append(r.notes, note)
		return
	}
	r.notes[r.next] = note
	r.next = (r.next + 1) % keptNotes
}

// About returns the notes on a subject, oldest first.
func (r *Recorder) About(subject Subject) []Note {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Note
	for _, note := range r.notes {
		if note.Subject == subject {
			found = append(found, note)
		}
	}
	slices.SortFunc(found, func(a, b Note) int {
		return a.At.Compare(b.At)
	})
	return found
}

// Query asks for the notes on a subject.
type Query struct {
	Subject Subject
}

// Answer holds notes.
type Answer struct {
	Notes []Note
}

// MethodAbout is the name of the method that answers queries.
const MethodAbout = "Explain.About"

// Service answers queries over net/rpc; it is registered as "Explain".
type Service struct {
	recorder *Recorder
}

// NewService returns the service of a recorder.
func NewService(recorder *Recorder) *Service {
	return &Service{
		recorder: recorder,
	}
}

// About answers with the process's notes on a subject.
func (s *Service) About(args Query, reply *Answer) error {
	reply.Notes = s.recorder.About(args.Subject)
	return nil
}
