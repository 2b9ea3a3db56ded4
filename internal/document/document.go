// Package document implements the configuration document: its sections, the changes made to them, its storage on the
// platform and its replication to every process.
//
// A change is accepted by a table transaction that raises the document's revision by one. Each process runs a Follower,
// which learns of new revisions from the platform and from its peers and puts them in force: it makes the newest View,
// the typed form of the document, the one that the process uses.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Revision is the version number of the whole document. Each accepted change raises it by one.
type Revision int64

// SectionVersion is the version number of one section. Each accepted change of the section raises it by one.
type SectionVersion int64

// SectionName names a section.
type SectionName string

const (
	// Capacity is the section that holds the services with their models and endpoints.
	Capacity SectionName = "Capacity"
	// Models is the section that holds the models with their versions and adapters.
	Models SectionName = "Models"
	// BatchPolicy is the section that holds the policy for batch jobs.
	BatchPolicy SectionName = "BatchPolicy"
	// Organisations is the section that holds the organisations with their keys and limits.
	Organisations SectionName = "Organisations"
)

// SectionNames lists the sections.
func SectionNames() []SectionName {
	return []SectionName{Capacity, Models, BatchPolicy, Organisations}
}

// EntryName names an entry of a section.
type EntryName string

// Hash is a hex-encoded SHA-256. Keys and tokens are stored only as their hashes.
type Hash string

// HashOf returns the hash of a text, such as a key or token.
func HashOf(text string) Hash {
	sum := sha256.Sum256([]byte(text))
	return Hash(hex.EncodeToString(sum[:]))
}

// Section is one team's part of the document.
type Section struct {
	// Owners are the hashes of the tokens that may change the section.
	Owners []Hash
	// Entries holds the JSON of each entry.
	Entries map[EntryName]json.RawMessage
}

// Document is the whole document at one revision.
type Document struct {
	Revision Revision
	Versions map[SectionName]SectionVersion
	Sections map[SectionName]Section
}

// New returns the empty document at revision zero.
func New() Document {
	doc := Document{
		Versions: map[SectionName]SectionVersion{},
		Sections: map[SectionName]Section{},
	}
	for _, name := range SectionNames() {
		doc.Sections[name] = Section{
			Entries: map[EntryName]json.RawMessage{},
		}
	}
	return doc
}

// ServiceName names a service.
type ServiceName string

// ModelName names a model.
type ModelName string

// OrganisationID names an organisation.
type OrganisationID string

// ServiceKind is the kind of a service's endpoints.
type ServiceKind string

const (
	// KindEngine is a service whose endpoints are model engines.
	KindEngine ServiceKind = "Engine"
	// KindPlain is a service whose endpoints serve no model.
	KindPlain ServiceKind = "Plain"
)

// Service is an entry of Capacity.
type Service struct {
	Kind ServiceKind `validate:"oneof=Engine Plain"`
	// Model is the model that the service's engines serve; empty for a plain service.
	Model ModelName
	// Endpoints is the desired number of endpoints.
	Endpoints int `validate:"min=0,max=10000"`
	// Slots is the number of requests that an endpoint serves concurrently.
	Slots int `validate:"min=1,max=10000"`
	// ReserveSlots is the number of an endpoint's slots that batch requests leave free. While online requests arrive
	// quickly, batch requests leave more slots free.
	ReserveSlots int `validate:"min=0,max=10000"`
	// QueueMilliseconds is the longest time that an online request may wait for a slot.
	QueueMilliseconds int `validate:"min=0,max=600000"`
	// NonIdempotentPaths are path prefixes. Calls to paths under them must not be repeated.
	NonIdempotentPaths []string
	// MaximumUnavailable is the share of endpoints, 0 to 1, that a roll-out may take out of service at the same time.
	MaximumUnavailable float64 `validate:"min=0,max=1"`
	// FirstTokenMilliseconds and TokenMilliseconds are the latency objectives, at the 95th percentile, for the first
	// token of an answer and for each further token.
	FirstTokenMilliseconds int `validate:"min=0,max=600000"`
	TokenMilliseconds      int `validate:"min=0,max=600000"`
}

// Model is an entry of Models.
type Model struct {
	Version     string `validate:"required"`
	Adapters    []string
	WeightBytes int64 `validate:"min=0"`
}

// DefaultPolicy is the name of the only entry of BatchPolicy. It applies to every job.
const DefaultPolicy EntryName = "Default"

// Policy is an entry of BatchPolicy.
type Policy struct {
	// LotItems and LotBytes limit the size of a lot, which is a group of items of a job that a dispatcher claims
	// together.
	LotItems int   `validate:"min=1,max=10000"`
	LotBytes int64 `validate:"min=1,max=67108864"`
	// CheckpointMilliseconds is the interval between checkpoints of a lot's progress.
	CheckpointMilliseconds int `validate:"min=100,max=600000"`
	// Attempts is the number of attempts after which an item fails.
	Attempts int `validate:"min=1,max=20"`
	// FloorShare is the share of slots, at most 0.5, that batch requests get even if online requests could use every
	// slot.
	FloorShare float64 `validate:"min=0,max=0.5"`
	// RetentionHours is how long results stay readable after a job has ended.
	RetentionHours int `validate:"min=1,max=8760"`
	// MaximumWindowHours is the longest completion window that a job may request.
	MaximumWindowHours int `validate:"min=1,max=720"`
}

// StandardPolicy returns the policy that applies while BatchPolicy has no entry.
func StandardPolicy() Policy {
	return Policy{
		LotItems:               500,
		LotBytes:               4 << 20,
		CheckpointMilliseconds: 3000,
		Attempts:               4,
		FloorShare:             0.02,
		RetentionHours:         24 * 30,
		MaximumWindowHours:     24 * 7,
	}
}

// Organisation is an entry of Organisations.
type Organisation struct {
	// Keys are the hashes of the keys of the organisation's callers.
	Keys []Hash `validate:"dive,len=64,hexadecimal"`
	// Weight is the organisation's weight in fair sharing.
	Weight float64 `validate:"gt=0,max=1000"`
	// ConcurrentRequests limits the organisation's online requests in flight, fleet-wide.
	ConcurrentRequests int `validate:"min=1"`
	// RequestsPerSecond limits the organisation's online requests, fleet-wide.
	RequestsPerSecond float64 `validate:"gt=0"`
}

// Change is a change of one section.
type Change struct {
	// ID is chosen by the editor, so that a repeated request is recognised.
	ID      string
	Section SectionName
	// Base is the section version that the change is based on.
	Base   SectionVersion
	Owners []Hash
	Set    map[EntryName]json.RawMessage
	Remove []EntryName
	// Before holds the previous values of the entries that are set or removed, so that the change can be undone and
	// compared.
	Before map[EntryName]json.RawMessage `json:",omitempty"`
	// Request is the hash of the editor's request, so that the reuse of an id for another request is recognised.
	Request Hash
	// Revision is assigned when the change is accepted.
	Revision Revision
	Author   string
	Accepted time.Time
}
