package cli

import (
	"encoding/json"
	"errors"
	"os"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/jsonc"
	"rhubarbrudder/pkg/client"
)

// sectionFile is a section of the document as "document get" prints it and "document put" reads it.
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

// newSectionFile returns a pointer to the struct that a file of the section is decoded into to validate its entries.
func newSectionFile(name document.SectionName) any {
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

// readSection reads and validates a section file. The error lists every fault in it.
func readSection(path string) (sectionFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return sectionFile{}, errors.Join(errUsage, err)
	}
	var file sectionFile
	if faults := jsonc.Decode(path, data, &file); len(faults) > 0 {
		return sectionFile{}, errors.Join(errUsage, faults)
	}
	if faults := jsonc.Decode(path, data, newSectionFile(file.Name)); len(faults) > 0 {
		return sectionFile{}, errors.Join(errUsage, faults)
	}
	return file, nil
}

// toClient converts the file to the client's type.
func (f sectionFile) toClient() client.Section {
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

// difference returns the change that turns the current section into the one in the file.
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
