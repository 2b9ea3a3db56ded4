package job

import "context"

// Lookup returns a job of any organisation, with up-to-date item counts, and the number of its lots that are done. It
// is for operators only, since it does not check the organisation.
func (s *Store) Lookup(ctx context.Context, id ID) (found Job, lotsDone int, err error) {
	found, _, err = s.jobRow(ctx, id)
	if err != nil {
		return Job{}, 0, err
	}
	lots, err := s.Lots(ctx, id)
	if err != nil {
		return Job{}, 0, err
	}
	tally := TallyOf(lots)
	if !found.State.Ended() {
		found.Counts = tally.Counts
	}
	return found, tally.Done, nil
}
