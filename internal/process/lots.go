package process

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
)

// countingStore is a job store that counts lots and items.
type countingStore struct {
	*job.Store
	lots  metric.Int64Counter
	items metric.Int64Counter
}

// newCountingStore returns a store that counts with the meter. Its counter of lots has three events: claimed, finished
// (without a remainder) and split (finished, with the unfinished items split off as a remainder).
func newCountingStore(meter metric.Meter, store *job.Store) (*countingStore, error) {
	lots, err := meter.Int64Counter("rhubarbrudder.lots", metric.WithDescription("Lots claimed, split and finished by this process."))
	items, itemsErr := meter.Int64Counter("rhubarbrudder.items", metric.WithDescription("Items whose results this process committed, by outcome."))
	return &countingStore{
		Store: store,
		lots:  lots,
		items: items,
	}, errors.Join(err, itemsErr)
}

// Claim claims a lot and counts it.
func (c *countingStore) Claim(ctx context.Context, active job.ActiveRow, lot job.LotRow, session lease.SessionID) (job.LotRow, error) {
	claimed, err := c.Store.Claim(ctx, active, lot, session)
	if err == nil {
		c.countLot(ctx, "claimed")
	}
	return claimed, err
}

// Complete stores the results of a lot and counts the lot as finished, and the items.
func (c *countingStore) Complete(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result) error {
	err := c.Store.Complete(ctx, id, lot, results)
	if err == nil {
		c.countLot(ctx, "finished")
		c.countItems(ctx, results)
	}
	return err
}

// Split stores the results of some of a lot's items, finishes the lot and makes the other items a remainder, whose
// progress is rest and which stays claimed if keep is set. It counts the split and the items with results.
func (c *countingStore) Split(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result, rest job.Checkpoint, keep bool) (job.LotRow, error) {
	remainder, err := c.Store.Split(ctx, id, lot, results, rest, keep)
	if err == nil {
		c.countLot(ctx, "split")
		c.countItems(ctx, results)
	}
	return remainder, err
}

func (c *countingStore) countLot(ctx context.Context, event string) {
	c.lots.Add(ctx, 1, metric.WithAttributes(attribute.String("event", event)))
}

func (c *countingStore) countItems(ctx context.Context, results []job.Result) {
	for _, result := range results {
		outcome := "completed"
		if result.Failed() {
			outcome = "failed"
		}
		c.items.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}
