package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"rhubarbrudder/internal/jsonc"
)

// Validate returns all faults of the document: wrong types, values out of range and invalid references across sections.
func (d Document) Validate() jsonc.Faults {
	_, faults := newView(d)
	return faults
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

// registerKeys registers an organisation's keys and returns a fault for each key that another organisation has.
func registerKeys(byKey map[Hash]OrganisationID, id OrganisationID, keys []Hash) jsonc.Faults {
	var faults jsonc.Faults
	for _, key := range keys {
		if other, registered := byKey[key]; registered && other != id {
			faults = append(faults, fault(Organisations, EntryName(id), "Keys", "share a key with "+string(other), "a key of its own"))
			continue
		}
		byKey[key] = id
	}
	return faults
}

// decodeEntry decodes one entry into target, a pointer to its type.
func decodeEntry(section SectionName, name EntryName, raw json.RawMessage, target any) jsonc.Faults {
	faults := jsonc.Decode(string(section), raw, target)
	for i := range faults {
		faults[i].Field = string(name) + "." + faults[i].Field
	}
	return faults
}
