package document_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/tablestore"
)

func newStore(t *testing.T) (*document.Store, *standin.Platform) {
	t.Helper()
	platform := standin.NewPlatform(1, 0)
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	return storeAt(server.URL), platform
}

func storeAt(url string) *document.Store {
	return document.NewStore(
		tablestore.NewTable(http.DefaultClient, url, "rhubarbrudder", nil),
		tablestore.NewObjects(http.DefaultClient, url, "objects", nil),
	)
}

func modelChange(id string, base document.SectionVersion, version string) document.Change {
	return document.Change{
		ID:      id,
		Section: document.Models,
		Base:    base,
		Request: document.HashOf(version),
		Set: map[document.EntryName]json.RawMessage{
			"beacon-7b": json.RawMessage(fmt.Sprintf(`{"Version":%q}`, version)),
		},
	}
}

func TestAccept(t *testing.T) {
	ctx := context.Background()
	cases := map[string]struct {
		change document.Change
		fault  standin.Fault
		want   error
		// revision is the document's revision after the second change.
		revision document.Revision
	}{
		"second editor": {
			change:   modelChange("two", 0, "2"),
			want:     document.ErrStale,
			revision: 1,
		},
		"resend": {
			change:   modelChange("one", 0, "1"),
			revision: 1,
		},
		"id of another change": {
			change:   modelChange("one", 0, "2"),
			want:     document.ErrReused,
			revision: 1,
		},
		"invalid entry": {
			change:   modelChange("two", 1, ""),
			want:     document.ErrInvalid,
			revision: 1,
		},
		"section that does not exist": {
			change: document.Change{
				ID:      "two",
				Section: "Other",
			},
			want:     document.ErrInvalid,
			revision: 1,
		},
		"lost answers": {
			change: modelChange("two", 1, "2"),
			fault: standin.Fault{
				LoseNext: 3,
			},
			revision: 2,
		},
		"outage": {
			change: modelChange("two", 1, "2"),
			fault: standin.Fault{
				Outage: true,
			},
			want:     document.ErrUnavailable,
			revision: 1,
		},
		"stale reads": {
			change: modelChange("two", 1, "2"),
			fault: standin.Fault{
				StaleReads: 3,
			},
			revision: 2,
		},
		"body larger than a row": {
			change:   modelChange("two", 1, strings.Repeat("2", tablestore.MaxRowBytes)),
			revision: 2,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			store, platform := newStore(t)
			view, _, err := store.AcceptOn(ctx, document.NewView(document.New()), modelChange("one", 0, "1"))
			assert.NilError(t, err)
			platform.Table.Faults.Set(tt.fault)
			_, accepted, err := store.AcceptOn(ctx, view, tt.change)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			platform.Table.Faults.Set(standin.Fault{})
			loaded, err := store.Load(ctx)
			assert.NilError(t, err)
			assert.Equal(t, loaded.Revision, tt.revision)
			if tt.want == nil {
				assert.Equal(t, loaded.Models["beacon-7b"].Version, versionOf(t, accepted))
			}
		})
	}
}

func versionOf(t *testing.T, change document.Change) string {
	t.Helper()
	var model document.Model
	assert.NilError(t, json.Unmarshal(change.Set["beacon-7b"], &model))
	return model.Version
}

// TestEditorsOfOtherSectionsDoNotCollide makes many changes to each section, with all sections edited concurrently.
func TestEditorsOfOtherSectionsDoNotCollide(t *testing.T) {
	const changesPerSection = 25
	ctx := context.Background()
	store, platform := newStore(t)
	platform.Table.Faults.Set(standin.Fault{
		LoseAnswers: 0.1,
	})
	var group sync.WaitGroup
	for _, section := range document.SectionNames() {
		group.Go(func() {
			view := document.NewView(document.New())
			for i := range changesPerSection {
				next, _, err := store.AcceptOn(ctx, view, document.Change{
					ID:      fmt.Sprintf("%s-%d", section, i),
					Section: section,
					Base:    document.SectionVersion(i),
				})
				assert.Check(t, err)
				view = next
			}
		})
	}
	group.Wait()
	loaded, err := store.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Revision, document.Revision(changesPerSection*len(document.SectionNames())))
}

// TestLoadFromSnapshotAfterSweep loads a document whose first changes have been swept.
func TestLoadFromSnapshotAfterSweep(t *testing.T) {
	const changes = 230
	ctx := context.Background()
	store, platform := newStore(t)
	view := document.NewView(document.New())
	early := view
	for i := range changes {
		next, _, err := store.AcceptOn(ctx, view, modelChange(fmt.Sprintf("change-%d", i), document.SectionVersion(i), strconv.Itoa(i+1)))
		assert.NilError(t, err)
		view = next
		if i == 0 {
			early = view
		}
		if document.SnapshotDue(view.Revision) {
			assert.NilError(t, store.Snapshot(ctx, view.Document()))
		}
	}
	reads := platform.Table.Stats().Reads
	loaded, err := store.Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Models["beacon-7b"].Version, "230")
	assert.Assert(t, platform.Table.Stats().Reads-reads <= 4)
	assert.NilError(t, store.Sweep(ctx))
	history, err := store.Changes(ctx, 0, changes)
	assert.NilError(t, err)
	assert.Equal(t, history[0].Revision, document.Revision(200))
	for _, from := range []*document.View{document.NewView(document.New()), early} {
		loaded, err = store.CatchUp(ctx, from, changes)
		assert.NilError(t, err)
		assert.DeepEqual(t, loaded.Document(), view.Document())
	}
}
