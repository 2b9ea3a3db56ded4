package document

import (
	"context"
	"time"
)

// Sweep removes every change before the latest snapshot, regardless of its age.
func (s *Store) Sweep(ctx context.Context) error {
	latest, _, err := s.latestSnapshot(ctx)
	if err != nil {
		return err
	}
	return s.sweep(ctx, latest.Revision, time.Now().Add(time.Hour))
}
