package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"rhubarbrudder/internal/jsonc"
)

// Validate returns every fault of the document: of types, of ranges, and of references across sections.
func (d Document) Validate() jsonc.Faults {
	view, faults := newView(d)
	if len(faults) > 0 {
		return faults
	}
	faults = append(faults, view.serviceFaults()...)
	faults = append(faults, view.policyFaults()...)
	return append(faults, view.keyFaults()...)
}

func fault(section SectionName, name EntryName, field, wrong, want string) jsonc.Fault {
	return jsonc.Fault{
		File:  string(section),
		Line:  1,
		Field: strings.TrimSuffix(string(name)+"."+field, "."),
		Wrong: wrong,
		Want:  want,
	}
}

func (v *View) serviceFaults() jsonc.Faults {
	var faults jsonc.Faults
	for name, service := range v.Services {
		entry := EntryName(name)
		_, known := v.Models[service.Model]
		if service.Kind == KindEngine && !known {
			faults = append(faults, fault(Capacity, entry, "Model", fmt.Sprintf("names %q", service.Model), "a model of section Models"))
		}
		if service.Kind == KindPlain && service.Model != "" {
			faults = append(faults, fault(Capacity, entry, "Model", "is set for a plain service", "it empty"))
		}
		if service.ReserveSlots > service.Slots {
			faults = append(faults, fault(Capacity, entry, "ReserveSlots", "is larger than Slots", "at most Slots"))
		}
	}
	return faults
}

func (v *View) policyFaults() jsonc.Faults {
	var faults jsonc.Faults
	for name := range v.doc.Sections[BatchPolicy].Entries {
		if name != DefaultPolicy {
			faults = append(faults, fault(BatchPolicy, name, "", "is not a known entry", string(DefaultPolicy)))
		}
	}
	return faults
}

func (v *View) keyFaults() jsonc.Faults {
	var faults jsonc.Faults
	owner := map[Hash]OrganisationID{}
	for id, organisation := range v.Organisations {
		for _, key := range organisation.Keys {
			if other, taken := owner[key]; taken && other != id {
				faults = append(faults, fault(Organisations, EntryName(id), "Keys", "share a key with "+string(other), "a key of its own"))
			}
			owner[key] = id
		}
	}
	slices.SortFunc(faults, func(a, b jsonc.Fault) int {
		return strings.Compare(a.Field, b.Field)
	})
	return faults
}

// decodeEntries decodes a section's entries into the map.
func decodeEntries(d Document, section SectionName, target any) jsonc.Faults {
	var faults jsonc.Faults
	into := reflect.ValueOf(target).Elem()
	into.Set(reflect.MakeMap(into.Type()))
	for name, raw := range d.Sections[section].Entries {
		entry := reflect.New(into.Type().Elem())
		for _, wrong := range jsonc.Decode(string(section), raw, entry.Interface()) {
			wrong.Field = string(name) + "." + wrong.Field
			faults = append(faults, wrong)
		}
		into.SetMapIndex(reflect.ValueOf(string(name)).Convert(into.Type().Key()), entry.Elem())
	}
	return faults
}
