package batch

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// ClaimKey is the key of a job's claim. The claims of an organisation's jobs are adjacent: their keys are a digest of the
// organisation's name, a slash and the job's id. The key is the job's id alone if the job has no organisation. Ids of jobs contain no
// slash.
type ClaimKey string

// claimKey returns the key of a job's claim.
func claimKey(organisation route.OrganisationID, id JobID) ClaimKey {
	if organisation == "" {
		return ClaimKey(id)
	}
	return ClaimKey(organisationKey(organisation) + string(id))
}

// Job returns the id of the claim's job.
func (k ClaimKey) Job() JobID {
	if _, id, ok := strings.Cut(string(k), "/"); ok {
		return JobID(id)
	}
	return JobID(k)
}

// digestBytes is the length of an organisation's digest in keys. Keys of claims are then no longer than those of results, so that a
// job's id may be as long with an organisation as without. Organisations with equal digests, which are one in four million pairs
// of ten thousand organisations, would share a cap.
const digestBytes = 6

// organisationKey returns the prefix of an organisation's keys.
func organisationKey(organisation route.OrganisationID) string {
	digest := sha256.Sum256([]byte(organisation))
	return base64.RawURLEncoding.EncodeToString(digest[:digestBytes]) + "/"
}

const (
	// admissionRows is the number of rows in the ledger table over which an organisation's acceptances are spread. Each acceptance
	// replaces at least one, so that two with the same row conflict if neither has seen the other. A transaction has room for them
	// and a job's other rows below the store's limit of 100 entries, each of them being expected and written.
	admissionRows = 32
	// overshootShare is the inverse of the share of the cap by which acceptances that do not see each other may exceed it together.
	overshootShare = 10
	// unseenShare is the inverse of the share of the room below that bound that acceptances may take which do not see each other.
	// Those that began with more room than is left have mostly lost their rows to others until then.
	unseenShare = 2
)

// rowsFor returns how many admission rows the acceptance of a job replaces while the organisation's open jobs have openTokens.
// Acceptances that do not see each other replace different rows. Each row stands for an equal part of the tokens that such
// acceptances may have together.
func rowsFor(tokens, openTokens, tokenCap int64) int {
	if tokenCap <= 0 {
		return 1
	}
	permitted := tokenCap / overshootShare
	permitted = max(permitted, (tokenCap+permitted-openTokens)/unseenShare)
	tokensPerRow := permitted / admissionRows
	if tokensPerRow == 0 || tokens > tokensPerRow*admissionRows {
		return admissionRows
	}
	return int(max(1, (tokens+tokensPerRow-1)/tokensPerRow))
}

// admissionRange selects rows of an organisation in the ledger table.
type admissionRange struct {
	organisation route.OrganisationID
	first        int
	rows         int
}

// newAdmissionRange returns a random range that has enough rows for a job whatever the tokens of the open jobs.
func newAdmissionRange(organisation route.OrganisationID, tokens, tokenCap int64) admissionRange {
	all := admissionRange{
		organisation: organisation,
		rows:         admissionRows,
	}
	return all.part(rowsFor(tokens, tokenCap, tokenCap))
}

// part returns a random part of the range. Parts of the same length are equal or disjoint, as overlaps would cause more conflicts.
func (r admissionRange) part(rows int) admissionRange {
	r.first += rows * rand.IntN(r.rows/rows)
	r.rows = rows
	return r
}

func (r admissionRange) key(n int) string {
	return fmt.Sprintf("%s%02d", organisationKey(r.organisation), n)
}

// read returns the rows as they are now.
func (r admissionRange) read(ctx context.Context, s store.Store) (store.Page, error) {
	return store.ReadAll(ctx, s, store.Range{
		Table: tableLedger,
		Part:  part,
		From:  store.Key(r.key(r.first)),
		To:    store.Key(r.key(r.first + r.rows)),
	})
}

// replace returns the part of a transaction that replaces the rows of the range, of which page shows those that exist. It returns
// store.ErrConflict if one of them has changed since the revision.
func (r admissionRange) replace(page store.Page, since store.Revision, id JobID) (store.Transaction, error) {
	revisions := make(map[store.Address]store.Revision, len(page.Rows))
	for _, row := range page.Rows {
		revisions[row.Address] = row.Revision
	}
	var txn store.Transaction
	for n := r.first; n < r.first+r.rows; n++ {
		at := address(tableLedger, r.key(n))
		if revisions[at] > since {
			return store.Transaction{}, oops.In("batch").Wrap(store.ErrConflict)
		}
		txn.Expect = append(txn.Expect, store.Expectation{
			Address:  at,
			Revision: revisions[at],
		})
		txn.Put = append(txn.Put, store.Put{
			Address: at,
			Value:   []byte(id),
		})
	}
	return txn, nil
}

// admitForOrganisation is like admit for a job of an organisation: it compares the tokens of the organisation's open jobs with the
// cap. The admission rows must be as old as the claims, so that an acceptance that the claims do not show changes them. They are read
// at the same time, and are as old if they have not changed since the claims were read.
func (mgr *Manager) admitForOrganisation(ctx context.Context, timeout time.Duration, s Submission, tokenCap int64, m *manifest) (store.Transaction, error) {
	bounded := mgr.ledger.within(timeout)
	rows := newAdmissionRange(s.Organisation, tokensOf(*m), tokenCap)
	var claims store.Page
	var claimsErr error
	var reading sync.WaitGroup
	if tokenCap > 0 {
		reading.Go(func() {
			claims, claimsErr = bounded.claimsOf(ctx, s.Organisation)
		})
	}
	page, err := rows.read(ctx, bounded.store)
	reading.Wait()
	if err := errors.Join(err, claimsErr); err != nil {
		return store.Transaction{}, err
	}
	m.Submitted = page.Clock
	mgr.pace.observeRevision(page.Revision, page.Clock)
	if tokenCap <= 0 {
		return store.Transaction{}, nil
	}
	openTokens, err := sumTokens(claims, s.ID)
	if err != nil {
		return store.Transaction{}, err
	}
	if openTokens+tokensOf(*m) > tokenCap {
		return store.Transaction{}, mgr.refuseUnlessStored(ctx, timeout, s, openTokens+tokensOf(*m), tokenCap, claims.Revision)
	}
	return rows.part(rowsFor(tokensOf(*m), openTokens, tokenCap)).replace(page, claims.Revision, s.ID)
}

// claimsOf returns the claims of the open jobs of an organisation.
func (l *ledger) claimsOf(ctx context.Context, organisation route.OrganisationID) (store.Page, error) {
	prefix := organisationKey(organisation)
	return store.ReadAll(ctx, l.store, store.Range{
		Table: tableClaims,
		Part:  part,
		From:  store.Key(prefix),
		// The character after the slash is 0.
		To: store.Key(strings.TrimSuffix(prefix, "/") + "0"),
	})
}

// sumTokens returns the sum of the tokens in the claims, without that of a job.
func sumTokens(claims store.Page, without JobID) (int64, error) {
	var sum int64
	for _, row := range claims.Rows {
		if ClaimKey(row.Address.Key).Job() == without {
			continue
		}
		c, err := decodeClaim(row)
		if err != nil {
			return 0, err
		}
		sum += c.Tokens
	}
	return sum, nil
}

// claimKey returns the key of the job's claim.
func (j *job) claimKey() ClaimKey {
	return claimKey(j.manifest.Organisation, j.id)
}
