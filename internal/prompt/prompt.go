// Package prompt names the parts that requests' prompts consist of.
package prompt

import "strings"

// PartID identifies a part of a prompt. Requests whose prompts share a part send the same id.
type PartID string

// Prompt lists the parts of a request's prompt in order. The last part belongs to the request itself or to its session.
type Prompt []PartID

const (
	// maxParts bounds the parts of a prompt that are kept; the first ones are.
	maxParts = 16
	// maxPartIDBytes bounds a part's id. A prompt with a longer one counts as one without parts.
	maxPartIDBytes = 64
)

// New returns a prompt of the given parts, limited in length. It is empty if an id is empty or too long.
func New(ids []string) Prompt {
	parts := make(Prompt, 0, min(len(ids), maxParts))
	for _, id := range ids[:min(len(ids), maxParts)] {
		if id == "" || len(id) > maxPartIDBytes {
			return nil
		}
		parts = append(parts, PartID(id))
	}
	return parts
}

// Shared returns the parts that other requests may have as well, which are all but the last.
func (p Prompt) Shared() []PartID {
	return p[:max(0, len(p)-1)]
}

// String returns the ids separated by commas, for logs.
func (p Prompt) String() string {
	ids := make([]string, 0, len(p))
	for _, id := range p {
		ids = append(ids, string(id))
	}
	return strings.Join(ids, ",")
}
