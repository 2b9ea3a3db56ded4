package document_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/document"
)

// drawChange draws a change from few names, so that references and keys often coincide. Some entries are invalid.
func drawChange(t *rapid.T, revision document.Revision) document.Change {
	change := document.Change{
		Revision: revision,
		Section:  rapid.SampledFrom(document.SectionNames()).Draw(t, "section"),
		Set:      map[document.EntryName]json.RawMessage{},
	}
	name := rapid.SampledFrom([]document.EntryName{"a", "b", "c", document.DefaultPolicy})
	for range rapid.IntRange(0, 3).Draw(t, "sets") {
		change.Set[name.Draw(t, "name")] = drawEntry(t, change.Section)
	}
	for range rapid.IntRange(0, 1).Draw(t, "removes") {
		change.Remove = append(change.Remove, name.Draw(t, "removed"))
	}
	return change
}

func drawEntry(t *rapid.T, section document.SectionName) json.RawMessage {
	reference := rapid.SampledFrom([]string{"a", "b", "x"}).Draw(t, "some")
	number := rapid.IntRange(0, 3).Draw(t, "number")
	switch section {
	case document.Capacity:
		// "Odd" is not a valid kind.
		kind := rapid.SampledFrom([]string{"Engine", "Plain", "Odd"}).Draw(t, "kind")
		return json.RawMessage(fmt.Sprintf(`{"Kind":%q,"Model":%q,"Slots":2,"ReserveSlots":%d}`, kind, reference, number))
	case document.Models:
		return json.RawMessage(fmt.Sprintf(`{"Version":"%d","Adapters":[%q]}`, number, reference))
	case document.BatchPolicy:
		return json.RawMessage(fmt.Sprintf(`{"LotItems":%d,"LotBytes":1,"CheckpointMilliseconds":100,"Attempts":1,"RetentionHours":1,"MaximumWindowHours":1}`, number))
	default:
		return json.RawMessage(fmt.Sprintf(`{"Keys":[%q],"Weight":1,"ConcurrentRequests":%d,"RequestsPerSecond":1}`, document.HashOf(reference), number))
	}
}

// TestIncrementalViewIsTheFullView applies changes one at a time and compares the result with a view built from the
// whole document.
func TestIncrementalViewIsTheFullView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := document.NewView(document.New())
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := drawChange(t, view.Revision+1)
			before, err := json.Marshal(view.Document())
			assert.NilError(t, err)
			next, faults, err := view.With(change)
			assert.NilError(t, err)
			whole := next.Document()
			wholeFaults := whole.Validate()
			after, err := json.Marshal(view.Document())
			assert.NilError(t, err)
			assert.Equal(t, string(after), string(before))
			assert.Equal(t, len(faults) == 0, len(wholeFaults) == 0, "%v, want %v", faults, wholeFaults)
			if len(faults) > 0 {
				continue
			}
			sameView(t, next, document.NewView(whole))
			view = next
		}
	})
}

func sameView(t *rapid.T, got, want *document.View) {
	assert.DeepEqual(t, got.Services, want.Services)
	assert.DeepEqual(t, got.Models, want.Models)
	assert.DeepEqual(t, got.Organisations, want.Organisations)
	assert.DeepEqual(t, got.Policy, want.Policy)
	for _, name := range []string{"a", "b", "c", "x"} {
		service, served := got.ServiceOf(document.ModelName(name))
		wantService, wantServed := want.ServiceOf(document.ModelName(name))
		assert.Equal(t, served, wantServed)
		assert.Equal(t, service, wantService)
		id, known := got.OrganisationOf(name)
		wantID, wantKnown := want.OrganisationOf(name)
		assert.Equal(t, known, wantKnown)
		assert.Equal(t, id, wantID)
	}
}

func TestThreeWayDifference(t *testing.T) {
	entry := func(s string) json.RawMessage { return json.RawMessage(`"` + s + `"`) }
	base := map[document.EntryName]json.RawMessage{"a": entry("1"), "b": entry("1"), "c": entry("1")}
	theirs := document.Change{
		Set:    map[document.EntryName]json.RawMessage{"a": entry("2"), "d": entry("2")},
		Remove: []document.EntryName{"b"},
		Before: map[document.EntryName]json.RawMessage{"a": base["a"], "b": base["b"]},
	}
	current := document.Section{
		Entries: map[document.EntryName]json.RawMessage{"a": entry("2"), "c": entry("1"), "d": entry("2")},
	}
	wanted := document.Section{
		Entries: map[document.EntryName]json.RawMessage{"a": entry("3"), "b": entry("1"), "c": entry("3")},
	}
	got := document.Compare(current, []document.Change{theirs}, wanted)
	assert.DeepEqual(t, got.Theirs.Set, theirs.Set)
	assert.DeepEqual(t, got.Theirs.Remove, theirs.Remove)
	assert.DeepEqual(t, got.Mine.Set, map[document.EntryName]json.RawMessage{"a": entry("3"), "c": entry("3")})
	assert.DeepEqual(t, got.Both, []document.EntryName{"a"})
}

// organisations returns a document with the given number of organisations, each with two keys.
func organisations(number int) document.Document {
	doc := document.New()
	for i := range number {
		doc.Sections[document.Organisations].Entries[document.EntryName(fmt.Sprintf("organisation-%d", i))] = organisationEntry(i, 1)
	}
	return doc
}

func organisationEntry(i, limit int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"Keys":[%q,%q],"Weight":1,"ConcurrentRequests":%d,"RequestsPerSecond":100}`,
		document.HashOf(fmt.Sprintf("key-%d-a", i)), document.HashOf(fmt.Sprintf("key-%d-b", i)), limit))
}

func BenchmarkViewChange(b *testing.B) {
	for _, number := range []int{100, 39000} {
		b.Run(fmt.Sprintf("organisations=%d", number), func(b *testing.B) {
			view := document.NewView(organisations(number))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				next, faults, err := view.With(document.Change{
					Revision: view.Revision + 1,
					Section:  document.Organisations,
					Set:      map[document.EntryName]json.RawMessage{"organisation-7": organisationEntry(7, i+1)},
				})
				assert.NilError(b, err)
				assert.Equal(b, len(faults), 0)
				view = next
			}
		})
	}
}

func BenchmarkViewWhole(b *testing.B) {
	for _, number := range []int{100, 39000} {
		b.Run(fmt.Sprintf("organisations=%d", number), func(b *testing.B) {
			doc := organisations(number)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				document.NewView(doc)
			}
		})
	}
}
