package document

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Apply returns the document with the change, which must follow the document's revision. The receiver stays as it is.
func (d Document) Apply(change Change) (Document, error) {
	if change.Revision != d.Revision+1 {
		return d, ErrGap
	}
	next := Document{
		Revision: change.Revision,
		Versions: maps.Clone(d.Versions),
		Sections: maps.Clone(d.Sections),
	}
	next.Versions[change.Section]++
	section := d.Sections[change.Section]
	section.Entries = maps.Clone(section.Entries)
	if section.Entries == nil {
		section.Entries = map[EntryName]json.RawMessage{}
	}
	if change.Owners != nil {
		section.Owners = change.Owners
	}
	maps.Copy(section.Entries, change.Set)
	for _, name := range change.Remove {
		delete(section.Entries, name)
	}
	next.Sections[change.Section] = section
	return next, nil
}

// Difference returns the change that turns the section into the wanted one.
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
	var left, right bytes.Buffer
	if json.Compact(&left, a) != nil || json.Compact(&right, b) != nil {
		return false
	}
	return bytes.Equal(left.Bytes(), right.Bytes())
}
