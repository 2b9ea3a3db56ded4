package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Apply returns the document with the changes applied, which must follow its revision in order. The receiver is not
// modified.
func (d Document) Apply(changes ...Change) (Document, error) {
	next := Document{
		Revision: d.Revision,
		Versions: maps.Clone(d.Versions),
		Sections: maps.Clone(d.Sections),
	}
	copied := map[SectionName]bool{}
	for _, change := range changes {
		if change.Revision != next.Revision+1 {
			return d, ErrGap
		}
		section := next.Sections[change.Section]
		if !copied[change.Section] {
			section.Entries = cloneEntries(section.Entries)
			copied[change.Section] = true
		}
		next.Revision = change.Revision
		next.Versions[change.Section]++
		next.Sections[change.Section] = section.with(change)
	}
	return next, nil
}

func cloneEntries(entries map[EntryName]json.RawMessage) map[EntryName]json.RawMessage {
	if entries == nil {
		return map[EntryName]json.RawMessage{}
	}
	return maps.Clone(entries)
}

// with returns the section with the change applied. It modifies the map of entries, which must not be shared with
// another document.
func (s Section) with(change Change) Section {
	if change.Owners != nil {
		s.Owners = change.Owners
	}
	maps.Copy(s.Entries, change.Set)
	for _, name := range change.Remove {
		delete(s.Entries, name)
	}
	return s
}

// Difference returns the change that turns the current section into the wanted one. It leaves the owners unchanged if
// wanted.Owners is nil.
func Difference(current, wanted Section) Change {
	change := Change{
		Set: map[EntryName]json.RawMessage{},
	}
	if wanted.Owners != nil && !slices.Equal(current.Owners, wanted.Owners) {
		change.Owners = wanted.Owners
	}
	for name, entry := range wanted.Entries {
		if !sameJSON(current.Entries[name], entry) {
			change.Set[name] = entry
		}
	}
	for name := range current.Entries {
		if _, ok := wanted.Entries[name]; !ok {
			change.Remove = append(change.Remove, name)
		}
	}
	slices.Sort(change.Remove)
	return change
}

// Empty reports whether the change alters nothing.
func (c Change) Empty() bool {
	return c.Owners == nil && len(c.Set) == 0 && len(c.Remove) == 0
}

func sameJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}

// names returns the names of the entries that the change sets or removes.
func (c Change) names() map[EntryName]bool {
	names := map[EntryName]bool{}
	for name := range c.Set {
		names[name] = true
	}
	for _, name := range c.Remove {
		names[name] = true
	}
	return names
}

// ThreeWay is the difference between the changes that two editors based on the same version of a section.
type ThreeWay struct {
	// Theirs is the change accepted since that version, Mine the change that the rejected editor wanted.
	Theirs Change
	Mine   Change
	// Both lists the entries that both editors changed, sorted by name.
	Both []EntryName
}

// Compare returns the three-way difference between the section in force, the changes accepted since the editor's
// version (oldest first) and the section that the editor wanted.
func Compare(current Section, since []Change, wanted Section) ThreeWay {
	base := Section{
		Owners:  wanted.Owners,
		Entries: cloneEntries(current.Entries),
	}
	for _, change := range slices.Backward(since) {
		for name := range change.names() {
			delete(base.Entries, name)
		}
		maps.Copy(base.Entries, change.Before)
	}
	result := ThreeWay{
		Theirs: Difference(base, Section{
			Entries: current.Entries,
		}),
		Mine: Difference(base, wanted),
	}
	mine := result.Mine.names()
	for name := range result.Theirs.names() {
		if mine[name] {
			result.Both = append(result.Both, name)
		}
	}
	slices.Sort(result.Both)
	return result
}
