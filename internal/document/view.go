package document

import "rhubarbrudder/internal/jsonc"

// View is the typed form of a document; it never changes.
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

// NewView returns the typed form of a document that is valid; entries with faults are left out.
func NewView(doc Document) *View {
	view, _ := newView(doc)
	return view
}

func newView(doc Document) (*View, jsonc.Faults) {
	view := &View{
		Revision: doc.Revision,
		Policy:   StandardPolicy(),
		doc:      doc,
		byKey:    map[Hash]OrganisationID{},
		byModel:  map[ModelName]ServiceName{},
	}
	var policies map[EntryName]Policy
	faults := decodeEntries(doc, Capacity, &view.Services)
	faults = append(faults, decodeEntries(doc, Models, &view.Models)...)
	faults = append(faults, decodeEntries(doc, BatchPolicy, &policies)...)
	faults = append(faults, decodeEntries(doc, Organisations, &view.Organisations)...)
	if policy, ok := policies[DefaultPolicy]; ok {
		view.Policy = policy
	}
	view.index()
	return view, faults
}

func (v *View) index() {
	for id, organisation := range v.Organisations {
		for _, key := range organisation.Keys {
			v.byKey[key] = id
		}
	}
	for name, service := range v.Services {
		if service.Kind != KindEngine {
			continue
		}
		v.byModel[service.Model] = name
		for _, adapter := range v.Models[service.Model].Adapters {
			v.byModel[ModelName(adapter)] = name
		}
	}
}

// Document returns the document that the view shows.
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
