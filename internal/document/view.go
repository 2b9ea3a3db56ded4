package document

import (
	"encoding/json"
	"maps"

	"rhubarbrudder/internal/jsonc"
)

// View is the typed form of a document. It is immutable.
type View struct {
	Revision      Revision
	Services      map[ServiceName]Service
	Models        map[ModelName]Model
	Policy        Policy
	Organisations map[OrganisationID]Organisation
	doc           Document
	byKey         map[Hash]OrganisationID
	byModel       map[ModelName]ServiceName
}

// NewView returns the typed form of a document. Entries with faults are left out.
func NewView(doc Document) *View {
	view, _ := newView(doc)
	return view
}

func newView(doc Document) (*View, jsonc.Faults) {
	view := &View{
		Revision: doc.Revision,
		Policy:   StandardPolicy(),
		doc:      doc,
	}
	all := map[SectionName]map[EntryName]bool{}
	for _, section := range SectionNames() {
		all[section] = map[EntryName]bool{}
		for name := range doc.Sections[section].Entries {
			all[section][name] = true
		}
	}
	return view, view.update(all)
}

// With returns the view after the changes, which must follow its revision, and the faults that they introduce.
// Only the entries that a change names are decoded and validated, along with the references to them.
func (v *View) With(changes ...Change) (*View, jsonc.Faults, error) {
	doc, err := v.doc.Apply(changes...)
	if err != nil {
		return v, nil, err
	}
	touched := map[SectionName]map[EntryName]bool{}
	for _, change := range changes {
		names := touched[change.Section]
		if names == nil {
			names = map[EntryName]bool{}
			touched[change.Section] = names
		}
		maps.Copy(names, change.names())
	}
	next := *v
	next.Revision = doc.Revision
	next.doc = doc
	return &next, next.update(touched), nil
}

// update decodes the touched entries into new maps, so that the view that this one was copied from does not change.
func (v *View) update(touched map[SectionName]map[EntryName]bool) jsonc.Faults {
	var faults jsonc.Faults
	if names, ok := touched[Capacity]; ok {
		faults = append(faults, v.updateServices(names)...)
	}
	if names, ok := touched[Models]; ok {
		faults = append(faults, v.updateModels(names)...)
	}
	if _, ok := touched[BatchPolicy]; ok {
		faults = append(faults, v.updatePolicy()...)
	}
	if names, ok := touched[Organisations]; ok {
		faults = append(faults, v.updateOrganisations(names)...)
	}
	if touched[Capacity] != nil || touched[Models] != nil {
		v.indexModels()
		faults = append(faults, v.serviceFaults()...)
	}
	return faults
}

// raw returns an entry's JSON, or nil if the section has no such entry.
func (v *View) raw(section SectionName, name EntryName) json.RawMessage {
	return v.doc.Sections[section].Entries[name]
}

func (v *View) updateServices(names map[EntryName]bool) jsonc.Faults {
	var faults jsonc.Faults
	services := maps.Clone(v.Services)
	if services == nil {
		services = map[ServiceName]Service{}
	}
	for name := range names {
		delete(services, ServiceName(name))
		raw := v.raw(Capacity, name)
		if raw == nil {
			continue
		}
		var service Service
		entryFaults := decodeEntry(Capacity, name, raw, &service)
		if len(entryFaults) == 0 {
			services[ServiceName(name)] = service
		}
		faults = append(faults, entryFaults...)
	}
	v.Services = services
	return faults
}

func (v *View) updateModels(names map[EntryName]bool) jsonc.Faults {
	var faults jsonc.Faults
	models := maps.Clone(v.Models)
	if models == nil {
		models = map[ModelName]Model{}
	}
	for name := range names {
		delete(models, ModelName(name))
		raw := v.raw(Models, name)
		if raw == nil {
			continue
		}
		var model Model
		entryFaults := decodeEntry(Models, name, raw, &model)
		if len(entryFaults) == 0 {
			models[ModelName(name)] = model
		}
		faults = append(faults, entryFaults...)
	}
	v.Models = models
	return faults
}

func (v *View) updatePolicy() jsonc.Faults {
	v.Policy = StandardPolicy()
	faults := v.policyFaults()
	raw := v.raw(BatchPolicy, DefaultPolicy)
	if raw == nil {
		return faults
	}
	var policy Policy
	entryFaults := decodeEntry(BatchPolicy, DefaultPolicy, raw, &policy)
	if len(entryFaults) == 0 {
		v.Policy = policy
	}
	return append(faults, entryFaults...)
}

// updateOrganisations removes the keys of all touched organisations before it registers any, so that a key can move
// from one organisation to another.
func (v *View) updateOrganisations(names map[EntryName]bool) jsonc.Faults {
	var faults jsonc.Faults
	organisations := maps.Clone(v.Organisations)
	if organisations == nil {
		organisations = map[OrganisationID]Organisation{}
	}
	byKey := maps.Clone(v.byKey)
	if byKey == nil {
		byKey = map[Hash]OrganisationID{}
	}
	for name := range names {
		for _, key := range organisations[OrganisationID(name)].Keys {
			delete(byKey, key)
		}
		delete(organisations, OrganisationID(name))
	}
	for name := range names {
		raw := v.raw(Organisations, name)
		if raw == nil {
			continue
		}
		var organisation Organisation
		entryFaults := decodeEntry(Organisations, name, raw, &organisation)
		if len(entryFaults) == 0 {
			organisations[OrganisationID(name)] = organisation
			entryFaults = registerKeys(byKey, OrganisationID(name), organisation.Keys)
		}
		faults = append(faults, entryFaults...)
	}
	v.Organisations = organisations
	v.byKey = byKey
	return faults
}

// indexModels maps each model and adapter to its service. If several services have the same one, the first by name is
// chosen, so that every VM makes the same choice.
func (v *View) indexModels() {
	v.byModel = map[ModelName]ServiceName{}
	for name, service := range v.Services {
		if service.Kind != KindEngine {
			continue
		}
		v.indexModel(service.Model, name)
		for _, adapter := range v.Models[service.Model].Adapters {
			v.indexModel(ModelName(adapter), name)
		}
	}
}

func (v *View) indexModel(model ModelName, service ServiceName) {
	if other, indexed := v.byModel[model]; !indexed || service < other {
		v.byModel[model] = service
	}
}

// Document returns the document that the view is the typed form of.
func (v *View) Document() Document {
	return v.doc
}

// OrganisationOf returns the organisation that the key belongs to.
func (v *View) OrganisationOf(key string) (OrganisationID, bool) {
	id, ok := v.byKey[HashOf(key)]
	return id, ok
}

// ServiceOf returns the service that serves the model or adapter.
func (v *View) ServiceOf(model ModelName) (ServiceName, bool) {
	name, ok := v.byModel[model]
	return name, ok
}
