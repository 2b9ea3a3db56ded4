package process

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/burn"
	"rhubarbrudder/internal/fleet"
)

// registerGauges adds the gauges that every process has.
func (b *base) registerGauges() error {
	meter := b.status.Meter()
	_, err := meter.Int64ObservableGauge("rhubarbrudder.document.revision",
		metric.WithDescription("Revision of the document in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(b.follower.View().Revision))
			return nil
		}))
	_, membersErr := meter.Int64ObservableGauge("rhubarbrudder.members",
		metric.WithDescription("Processes alive by role."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, role := range []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController} {
				o.Observe(int64(len(b.fleet.Alive(role))), metric.WithAttributes(attribute.String("role", string(role))))
			}
			return nil
		}))
	return errors.Join(err, membersErr)
}

// firstTokenHistogram is an observer that records the times to the first token in a histogram and passes each sample to
// the next observer.
type firstTokenHistogram struct {
	next    burn.Observer
	seconds metric.Float64Histogram
}

func newFirstTokenHistogram(meter metric.Meter, next burn.Observer) (*firstTokenHistogram, error) {
	seconds, err := meter.Float64Histogram("rhubarbrudder.first_token",
		metric.WithUnit("s"),
		metric.WithDescription("Time to the first token of streamed answers by service."),
		metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.71, 1, 1.5, 2.5, 5, 10, 30))
	return &firstTokenHistogram{
		next:    next,
		seconds: seconds,
	}, err
}

// Observe records the time to the first token and passes the sample on.
func (f *firstTokenHistogram) Observe(sample burn.Sample) {
	if sample.TimeToFirstToken > 0 {
		f.seconds.Record(context.Background(), sample.TimeToFirstToken.Seconds(),
			metric.WithAttributes(attribute.String("service", string(sample.Key.Service))))
	}
	f.next.Observe(sample)
}
