package batch

import (
	"context"
	"encoding/json"
	"errors"
)

// Results returns results from a position on, about maxBytes of them but one at least if there is one.
func (k *Keeper) Results(ctx context.Context, id JobID, from, maxBytes int) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := k.manifest(ctx, id)
	if err != nil {
		return Listing{}, err
	}
	results, err := k.ledger.results(ctx, id, from, false)
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

// Body returns the body of an item whose job is not ended.
func (k *Keeper) Body(ctx context.Context, id JobID, item ItemID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := k.manifest(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := k.ledger.items(ctx, id, m)
	if err != nil {
		return nil, unavailable(err)
	}
	for _, each := range items {
		if each.ID == item {
			return each.Body, nil
		}
	}
	return nil, ErrNotFound
}

// unavailable turns the errors of a read into the package's own.
func unavailable(err error) error {
	var syntax *json.SyntaxError
	if errors.Is(err, ErrNotFound) || errors.As(err, &syntax) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}
