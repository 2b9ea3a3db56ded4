package document_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
)

// FuzzModelEntry looks for entries of section Models on which Validate panics or returns faults without a text, and for
// valid ones that are missing from the view.
func FuzzModelEntry(f *testing.F) {
	for _, seed := range []string{
		`{"Version":"1","Adapters":null,"WeightBytes":5}`, `{"Version":1}`, `{"Version":"1","Version":"2"}`, `null`, `[]`, `{`, `"x"`,
	} {
		f.Add("beacon-7.1", seed)
	}
	f.Fuzz(func(t *testing.T, name, entry string) {
		doc := document.New()
		doc.Sections[document.Models].Entries[document.EntryName(name)] = json.RawMessage(entry)
		faults := doc.Validate()
		if len(faults) > 0 {
			assert.Assert(t, faults.Error() != "")
			return
		}
		model, ok := document.NewView(doc).Models[document.ModelName(name)]
		assert.Assert(t, ok && model.Version != "")
	})
}
