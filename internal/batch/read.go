package batch

import (
	"context"
	"encoding/json"
	"errors"
)

// Results returns results from a position on, with at most maxBytes of output. It returns at least one result if there
// is any, even if that is larger.
func (mgr *Manager) Results(ctx context.Context, id JobID, from, maxBytes int) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.manifest(ctx, id)
	if err != nil {
		return Listing{}, err
	}
	results, err := mgr.ledger.results(ctx, id, from, false)
	if err != nil {
		return Listing{}, unavailable(err)
	}
	listing := Listing{
		Total: len(m.Items),
	}
	size := 0
	for _, r := range results {
		size += len(r.Output)
		if len(listing.Results) > 0 && size > maxBytes {
			break
		}
		listing.Results = append(listing.Results, r)
	}
	return listing, nil
}

// Exists reports whether a job was accepted on the host, whatever has become of it since.
func (mgr *Manager) Exists(ctx context.Context, id JobID, host string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.manifest(ctx, id)
	if errors.Is(err, ErrNotFound) {
		return false, nil
	}
	return err == nil && m.Host == host, err
}

// Body returns the body of an item, or ErrNotFound.
func (mgr *Manager) Body(ctx context.Context, id JobID, item ItemID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.manifest(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := mgr.ledger.items(ctx, id, m)
	if err != nil {
		return nil, unavailable(err)
	}
	for _, candidate := range items {
		if candidate.ID == item {
			return candidate.Body, nil
		}
	}
	return nil, ErrNotFound
}

// unavailable adds ErrUnavailable to the errors of a read, except to those that a further read would not resolve.
func unavailable(err error) error {
	var syntax *json.SyntaxError
	if errors.Is(err, ErrNotFound) || errors.As(err, &syntax) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}
