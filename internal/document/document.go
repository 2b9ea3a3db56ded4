// Package document holds the configuration document: its sections, changes to them, and the view in force.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// Revision numbers the whole document; each accepted change raises it by one.
type Revision int64

// SectionVersion numbers one section; each accepted change of the section raises it by one.
type SectionVersion int64

// SectionName names a section.
type SectionName string

const (
	// Capacity is the section of services, their models and their endpoints.
	Capacity SectionName = "Capacity"
	// Models is the section of models, versions and adapters.
	Models SectionName = "Models"
	// BatchPolicy is the section of how batch jobs run.
	BatchPolicy SectionName = "BatchPolicy"
	// Organisations is the section of organisations, their keys and limits.
	Organisations SectionName = "Organisations"
)

// SectionNames lists the sections.
func SectionNames() []SectionName {
	return []SectionName{Capacity, Models, BatchPolicy, Organisations}
}

// EntryName names an entry of a section.
type EntryName string

// Hash is the hex form of the SHA-256 of a key or token, which is itself never kept.
type Hash string

// HashOf returns the hash of a key or token.
func HashOf(secret string) Hash {
	sum := sha256.Sum256([]byte(secret))
	return Hash(hex.EncodeToString(sum[:]))
}

// Section is one team's part of the document.
type Section struct {
	// Owners are the hashes of the tokens that may change the section.
	Owners []Hash
	// Entries are the section's entries in their own JSON.
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

// ServiceKind says what stands behind a service.
type ServiceKind string

const (
	// KindEngine is a service of model engines.
	KindEngine ServiceKind = "Engine"
	// KindPlain is a plain service.
	KindPlain ServiceKind = "Plain"
)

// Service is an entry of Capacity.
type Service struct {
	Kind ServiceKind `validate:"oneof=Engine Plain"`
	// Model is what the service's engines serve; empty for a plain service.
	Model ModelName
	// Endpoints is how many endpoints are wanted.
	Endpoints int `validate:"min=0,max=10000"`
	// Slots is how many requests an endpoint serves at once.
	Slots int `validate:"min=1,max=10000"`
	// ReserveSlots is how many slots of an endpoint batch leaves free; more while online requests arrive quickly.
	ReserveSlots int `validate:"min=0,max=10000"`
	// QueueMilliseconds is how long an online request may wait for a slot.
	QueueMilliseconds int `validate:"min=0,max=600000"`
	// NonIdempotentPaths are the prefixes of paths whose calls may not be repeated.
	NonIdempotentPaths []string
	// MaximumUnavailable is the share of endpoints that a roll-out may take out at once, 0 to 1.
	MaximumUnavailable float64 `validate:"min=0,max=1"`
	// FirstTokenMilliseconds and TokenMilliseconds are the objectives at the 95th percentile.
	FirstTokenMilliseconds int `validate:"min=0,max=600000"`
	TokenMilliseconds      int `validate:"min=0,max=600000"`
}

// Model is an entry of Models.
type Model struct {
	Version     string `validate:"required"`
	Adapters    []string
	WeightBytes int64 `validate:"min=0"`
}

// DefaultPolicy names the one entry of BatchPolicy that every job follows.
const DefaultPolicy EntryName = "Default"

// Policy is an entry of BatchPolicy.
type Policy struct {
	// LotItems and LotBytes bound a lot.
	LotItems int   `validate:"min=1,max=10000"`
	LotBytes int64 `validate:"min=1,max=67108864"`
	// CheckpointMilliseconds is the period of checkpoints of a lot's progress.
	CheckpointMilliseconds int `validate:"min=100,max=600000"`
	// Attempts is how often an item is tried before it fails.
	Attempts int `validate:"min=1,max=20"`
	// FloorShare is the share of slots that batch gets even if online never idles, 0 to 1.
	FloorShare float64 `validate:"min=0,max=0.5"`
	// RetentionHours is how long results stay readable after a job ended.
	RetentionHours int `validate:"min=1,max=8760"`
	// MaximumWindowHours is the longest time a job may ask for.
	MaximumWindowHours int `validate:"min=1,max=720"`
}

// StandardPolicy is in force until BatchPolicy has an entry.
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
	// Weight is the organisation's weight in fair shares.
	Weight float64 `validate:"gt=0,max=1000"`
	// ConcurrentRequests limits the organisation's online requests in flight, fleet-wide.
	ConcurrentRequests int `validate:"min=1"`
	// RequestsPerSecond limits the organisation's online requests, fleet-wide.
	RequestsPerSecond float64 `validate:"gt=0"`
}

// Change is a change of one section.
type Change struct {
	// ID is chosen by the editor, so that a resend is known.
	ID      string
	Section SectionName
	// Base is the version of the section that the change was made from.
	Base   SectionVersion
	Owners []Hash
	Set    map[EntryName]json.RawMessage
	Remove []EntryName
	// Before holds what the entries set or removed were, so that a change can be undone and compared.
	Before map[EntryName]json.RawMessage `json:",omitempty"`
	// Request is the hash of what the editor sent, so that an id used for something else is known.
	Request Hash
	// Revision is given at acceptance.
	Revision Revision
	Author   string
	Accepted time.Time
}
