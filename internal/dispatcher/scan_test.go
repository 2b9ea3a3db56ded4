package dispatcher

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
)

// scanWorld is the store, the sessions, the capacity and the members of a dispatcher. The first claim makes another
// process known that is preferred for all lots.
type scanWorld struct {
	Store
	Sessions
	Capacity
	Members
	claims int
}

func (w *scanWorld) Lots(context.Context, job.ID) ([]job.LotRow, error) { return nil, nil }

func (w *scanWorld) Claim(_ context.Context, _ job.ActiveRow, lot job.LotRow, _ lease.SessionID) (job.LotRow, error) {
	w.claims++
	return lot, nil
}

func (w *scanWorld) Items(context.Context, job.Lot) ([]job.Item, error) { return nil, job.ErrFenced }

func (w *scanWorld) Own() (lease.SessionID, bool) { return "own", true }

func (w *scanWorld) Prefers(document.ServiceName, string) bool { return w.claims == 0 }

func (w *scanWorld) Alive(fleet.Role) []fleet.Member { return nil }

// TestLotsOfAnOldListing checks that a dispatcher claims no more lots of a listing once another process has become known
// that is preferred for them. Two dispatchers that started at the same time used to claim most lots twice.
func TestLotsOfAnOldListing(t *testing.T) {
	w := &scanWorld{}
	d := New(Parts{
		Store:    w,
		Sessions: w,
		Capacity: w,
		Document: largeService{},
		Members:  w,
		Log:      slog.New(slog.DiscardHandler),
	})
	row := job.ActiveRow{
		Active: job.Active{
			Job:     "j",
			Service: "s",
			Lots:    12,
			Items:   6000,
			Due:     time.Now().Add(time.Hour),
		},
	}
	d.setActive([]job.ActiveRow{row})
	d.scan(t.Context())
	d.lotRuns.Wait()
	assert.Equal(t, w.claims, 1)
}

// largeService is a document with a service whose slots no listing fills.
type largeService struct{}

func (largeService) View() *document.View {
	return &document.View{
		Policy: document.StandardPolicy(),
		Services: map[document.ServiceName]document.Service{
			"s": {
				Slots: 10_000,
			},
		},
	}
}
