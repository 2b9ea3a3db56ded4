package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rhubarbrudder/internal/forward"
)

// errNoOrganisations means that this VM knows no organisations, so that it cannot tell whether a caller may access the job of
// one. Its configuration may be older than that of the VM that accepted the job.
var errNoOrganisations = fmt.Errorf("%w: the configuration in force has no organisations", ErrUnavailable)

// access returns nil if the caller may make calls about the job, and otherwise the error to return. A job of another
// organisation appears not to exist.
func (m manifest) access(caller forward.Caller) error {
	switch {
	case m.Organisation == "" || m.Organisation == caller.Organisation:
		return nil
	case caller.Organisation != "":
		return ErrNotFound
	case caller.Keyed:
		return ErrKeyNeeded
	}
	return errNoOrganisations
}

// manifestTrust is how long a cached manifest decides which organisation a job belongs to. The cache may hold the manifest of a job
// that was removed, whose id another organisation has used again.
const manifestTrust = 10 * time.Second

// accessible returns the manifest of a job about which the caller may make calls.
func (mgr *Manager) accessible(ctx context.Context, caller forward.Caller, id JobID) (manifest, error) {
	m, err := mgr.manifest(ctx, id)
	if err == nil && m.Organisation != "" && time.Since(m.cached) > manifestTrust {
		mgr.uncacheManifest(id)
		m, err = mgr.manifest(ctx, id)
	}
	if err != nil {
		return m, err
	}
	return m, m.access(caller)
}

// Results returns results from a position on, with at most maxBytes of output. It returns at least one result if there
// is any, even if that is larger, and no more than arrive in time.
func (mgr *Manager) Results(ctx context.Context, caller forward.Caller, id JobID, from, maxBytes int) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.accessible(ctx, caller, id)
	if err != nil {
		return Listing{}, err
	}
	reading := mgr.reading.Add(1)
	defer mgr.reading.Add(-1)
	results, err := mgr.ledger.results(ctx, listingTime, id, from, rowsAtOnce(reading))
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

// sharedRows is how many rows all reads of results at once ask the store for, if there are several. Larger answers would share the
// link so that none arrives in time.
const sharedRows = 64

// rowsAtOnce returns how many rows a read of results asks for beside others, or zero for as many as the store returns.
func rowsAtOnce(reading int64) int {
	if reading <= 1 {
		return 0
	}
	return int(max(1, sharedRows/reading))
}

// Exists reports whether a job was accepted on the host, whatever has become of it since. A job about which the caller may
// make no calls counts as none.
func (mgr *Manager) Exists(ctx context.Context, caller forward.Caller, id JobID, host string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.accessible(ctx, caller, id)
	if errors.Is(err, ErrNotFound) || errors.Is(err, ErrKeyNeeded) {
		return false, nil
	}
	return err == nil && m.Host == host, err
}

// Body returns the body of an item, or ErrNotFound.
func (mgr *Manager) Body(ctx context.Context, caller forward.Caller, id JobID, item ItemID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := mgr.accessible(ctx, caller, id)
	if err != nil {
		return nil, err
	}
	items, err := mgr.itemsForCaller(ctx, id, m)
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
