package process

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/lease"
)

// countedJobs is a job store that counts lots and items.
type countedJobs struct {
	*job.Store
	lots  metric.Int64Counter
	items metric.Int64Counter
}

func newCountedJobs(meter metric.Meter, store *job.Store) (*countedJobs, error) {
	lots, err := meter.Int64Counter("rhubarbrudder.lots", metric.WithDescription("Lots claimed, split and finished by this process."))
	items, itemsErr := meter.Int64Counter("rhubarbrudder.items", metric.WithDescription("Items whose results this process committed, by outcome."))
	return &countedJobs{
		Store: store,
		lots:  lots,
		items: items,
	}, errors.Join(err, itemsErr)
}

// Claim claims a lot and counts it.
func (c *countedJobs) Claim(ctx context.Context, active job.ActiveRow, lot job.LotRow, session lease.SessionID) (job.LotRow, error) {
	claimed, err := c.Store.Claim(ctx, active, lot, session)
	if err == nil {
		c.countLot(ctx, "claimed")
	}
	return claimed, err
}

// Complete finishes a lot and counts it and its items.
func (c *countedJobs) Complete(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result) error {
	err := c.Store.Complete(ctx, id, lot, results)
	if err == nil {
		c.countLot(ctx, "finished")
		c.countItems(ctx, results)
	}
	return err
}

// Split finishes a part of a lot and counts its items.
func (c *countedJobs) Split(ctx context.Context, id job.ID, lot job.LotRow, results []job.Result, rest job.Checkpoint, keep bool) (job.LotRow, error) {
	remainder, err := c.Store.Split(ctx, id, lot, results, rest, keep)
	if err == nil {
		c.countLot(ctx, "split")
		c.countItems(ctx, results)
	}
	return remainder, err
}

func (c *countedJobs) countLot(ctx context.Context, event string) {
	c.lots.Add(ctx, 1, metric.WithAttributes(attribute.String("event", event)))
}

func (c *countedJobs) countItems(ctx context.Context, results []job.Result) {
	for _, result := range results {
		outcome := "completed"
		if result.Failed() {
			outcome = "failed"
		}
		c.items.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	}
}
