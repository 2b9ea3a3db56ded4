package cli

import (
	"encoding/json"
	"errors"
	"os"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/jsonc"
	"rhubarbrudder/pkg/client"
)

// sectionFile is a section as "document get" prints it and "document put" reads it.
type sectionFile struct {
	Name     document.SectionName `validate:"oneof=Capacity Models BatchPolicy Organisations"`
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.EntryName]json.RawMessage `validate:"required"`
}

type capacityFile struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.ServiceName]document.Service `validate:"dive"`
}

type modelsFile struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.ModelName]document.Model `validate:"dive"`
}

type policyFile struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.EntryName]document.Policy `validate:"dive"`
}

type organisationsFile struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.OrganisationID]document.Organisation `validate:"dive"`
}

// typed returns what the file of a section is decoded into.
func typed(name document.SectionName) any {
	switch name {
	case document.Capacity:
		return &capacityFile{}
	case document.Models:
		return &modelsFile{}
	case document.BatchPolicy:
		return &policyFile{}
	default:
		return &organisationsFile{}
	}
}

// readSection reads a section's file; the error lists every fault in it.
func readSection(path string) (sectionFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return sectionFile{}, errors.Join(errUsage, err)
	}
	var file sectionFile
	if faults := jsonc.Decode(path, data, &file); len(faults) > 0 {
		return sectionFile{}, errors.Join(errUsage, faults)
	}
	if faults := jsonc.Decode(path, data, typed(file.Name)); len(faults) > 0 {
		return sectionFile{}, errors.Join(errUsage, faults)
	}
	return file, nil
}

// sectionOf returns the section as the client puts it.
func (f sectionFile) sectionOf() client.Section {
	section := client.Section{
		Name:    string(f.Name),
		Version: int64(f.Version),
		Entries: map[string]json.RawMessage{},
	}
	for name, entry := range f.Entries {
		section.Entries[string(name)] = entry
	}
	return section
}

// difference returns what turns the section in force into the file's.
func (f sectionFile) difference(current client.Section) document.Change {
	entries := map[document.EntryName]json.RawMessage{}
	for name, entry := range current.Entries {
		entries[document.EntryName(name)] = entry
	}
	return document.Difference(
		document.Section{
			Entries: entries,
		},
		document.Section{
			Entries: f.Entries,
		},
	)
}
