package store

import "context"

// Scan reads the rows of a range whose rows do not change once they are written. What it has read, it does not read again: after a
// failure it goes on from there.
type Scan struct {
	store Store
	// rest is the part of the range that has not been read.
	rest Range
	done bool
}

// NewScan returns a Scan of a range that has read nothing.
func NewScan(s Store, r Range) *Scan {
	r.Partial = true
	return &Scan{
		store: s,
		rest:  r,
	}
}

// Read reads up to the end of the range, and calls visit once for each row, in the order of their keys. After an error it may be
// called again.
func (s *Scan) Read(ctx context.Context, visit func(Row) error) error {
	for !s.done {
		page, err := s.store.Read(ctx, s.rest)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			if err := visit(row); err != nil {
				return err
			}
			s.rest.From = row.Address.Key + "\x00"
		}
		s.done = !page.More || len(page.Rows) == 0
	}
	return nil
}
