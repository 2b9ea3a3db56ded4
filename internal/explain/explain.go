// Package explain records, in bounded memory, the decisions of a process about requests, jobs and endpoints. A recorded
// decision is called a note.
package explain

import (
	"slices"
	"sync"
	"time"
)

// Subject identifies what a decision is about: the id of a request, job or endpoint. A note about a lot or an item of a
// job has the job as its subject.
type Subject string

// Fact is one piece of evidence for a decision.
type Fact struct {
	Name  string
	Value string
}

// Note is one recorded decision.
type Note struct {
	At time.Time
	// By is the id of the process that made the decision.
	By       string
	Subject  Subject
	Decision string
	Evidence []Fact
}

// Recorder stores the latest notes of a process.
type Recorder struct {
	// process is the id of the process.
	process string
	mu      sync.Mutex
	notes   []Note
	oldest  int
}

// maxNotes is the maximum number of notes in a recorder; it bounds the memory.
const maxNotes = 20000

// New returns an empty recorder for the process with the id.
func New(process string) *Recorder {
	return &Recorder{
		process: process,
	}
}

// Note records a decision. When the recorder is full, the new note replaces the oldest one. A nil recorder records
// nothing.
func (r *Recorder) Note(subject Subject, decision string, evidence ...Fact) {
	if r == nil {
		return
	}
	note := Note{
		At:       time.Now().UTC(),
		By:       r.process,
		Subject:  subject,
		Decision: decision,
		Evidence: evidence,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.notes) < maxNotes {
		r.notes = append(r.notes, note)
		return
	}
	r.notes[r.oldest] = note
	r.oldest = (r.oldest + 1) % maxNotes
}

// About returns the notes about a subject, oldest first.
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

// Query requests the notes about a subject.
type Query struct {
	Subject Subject
}

// Answer is the answer to a Query.
type Answer struct {
	Notes []Note
}

// MethodAbout is the name of the method that answers queries.
const MethodAbout = "Explain.About"

// Service is the net/rpc service that answers queries; it is registered as "Explain".
type Service struct {
	recorder *Recorder
}

// NewService returns a net/rpc service that answers queries from the recorder.
func NewService(recorder *Recorder) *Service {
	return &Service{
		recorder: recorder,
	}
}

// About returns the process's notes about a subject.
func (s *Service) About(args Query, reply *Answer) error {
	reply.Notes = s.recorder.About(args.Subject)
	return nil
}
