package batch

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// ofOrganisation returns a submission of an organisation with one item.
func ofOrganisation(organisation route.OrganisationID, id JobID, tokens int64) Submission {
	s := submission(id, 1, tokens)
	s.Organisation = organisation
	return s
}

// TestCapOfEachOrganisation guards against caps that count the jobs of others: of other organisations, of those whose names resemble,
// or of callers without an organisation. The cap is 1000.
func TestCapOfEachOrganisation(t *testing.T) {
	type step struct {
		submit Submission
		end    JobID
		want   error
	}
	tests := map[string][]step{
		"an organisation has its own cap": {
			{submit: ofOrganisation("a", "j1", 600)},
			{submit: ofOrganisation("a", "j2", 600), want: ErrFull},
			{submit: ofOrganisation("b", "j3", 600)},
			{submit: ofOrganisation("b", "j4", 600), want: ErrFull},
		},
		"up to the cap exactly": {
			{submit: ofOrganisation("a", "j1", 400)},
			{submit: ofOrganisation("a", "j2", 600)},
			{submit: ofOrganisation("a", "j3", 1), want: ErrFull},
		},
		"an ended job makes room": {
			{submit: ofOrganisation("a", "j1", 600)},
			{submit: ofOrganisation("a", "j2", 600), want: ErrFull},
			{end: "j1"},
			{submit: ofOrganisation("a", "j2", 600)},
		},
		"a job sent again is accepted although the cap is reached": {
			{submit: ofOrganisation("a", "j1", 600)},
			{submit: ofOrganisation("a", "j2", 400)},
			{submit: ofOrganisation("a", "j1", 600)},
		},
		"a job larger than the cap": {
			{submit: ofOrganisation("a", "j1", 1001), want: ErrFull},
		},
		"jobs from before there were organisations count for none": {
			{submit: submission("j1", 1, 900)},
			{submit: ofOrganisation("a", "j2", 1000)},
			{submit: ofOrganisation("a", "j3", 1), want: ErrFull},
		},
		"an id that another organisation has chosen": {
			{submit: ofOrganisation("a", "j1", 10)},
			{submit: ofOrganisation("b", "j1", 10), want: ErrNotAccepted},
			{submit: ofOrganisation("a", "j1", 10)},
		},
		"a job sent again after organisations are added": {
			{submit: submission("j1", 1, 10)},
			{submit: ofOrganisation("a", "j1", 10)},
		},
		"an organisation's job sent again without a key": {
			{submit: ofOrganisation("a", "j2", 10)},
			{submit: submission("j2", 1, 10), want: ErrNotAccepted},
		},
		"names with separators": {
			{submit: ofOrganisation("a/b", "j1", 1000)},
			{submit: ofOrganisation("a", "j2", 1000)},
			{submit: ofOrganisation("a/", "j3", 1000)},
			{submit: ofOrganisation("a\x00", "j4", 1000)},
			{submit: ofOrganisation("a/b", "j5", 1), want: ErrFull},
		},
		"a job's id that is an organisation's digest": {
			{submit: submission(JobID(organisationKey("a")[:8]), 1, 900)},
			{submit: ofOrganisation("a", "j1", 1000)},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemoryStore()
			mgr := newManager(t, m, "vm")
			for n, s := range steps {
				if s.end != "" {
					assert.NilError(t, mgr.End(context.Background(), forward.Caller{Organisation: "a"}, s.end), "step %d", n)
					continue
				}
				assert.ErrorIs(t, mgr.Accept(context.Background(), s.submit, jobRoute), s.want, "step %d", n)
			}
		})
	}
}

// TestJobsOfOrganisationsAreOpenJobs guards against the supervisor, the sweep, the end of a job and adoption missing the claims of
// organisations' jobs.
func TestJobsOfOrganisationsAreOpenJobs(t *testing.T) {
	m := newMemoryStore()
	a := newManager(t, m, "a")
	b := newManager(t, m, "b")
	assert.NilError(t, a.Accept(context.Background(), ofOrganisation("o", "j", 10), jobRoute))
	args := owned(t, a, "j").handover()
	assert.NilError(t, b.Adopt(context.Background(), args))
	c, _, err := b.ledger.claim(context.Background(), claimKey("o", "j"))
	assert.NilError(t, err)
	assert.Equal(t, c.Owner, "b")
	m.advance(1_000_000)
	_, err = b.sweep(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.closedSince), 0)
	assert.NilError(t, b.End(context.Background(), forward.Caller{Organisation: "o"}, "j"))
	waitJobs(b)
	for _, address := range m.addresses() {
		assert.Assert(t, address.Table != tableClaims, "%v is left", address)
	}
	for range 2 {
		_, err = b.sweep(context.Background(), 0)
		assert.NilError(t, err)
		m.advance(1_000_000)
	}
	for _, address := range m.addresses() {
		assert.Assert(t, address.Table == tableLedger, "%v is left", address)
	}
}

// countingStore counts the reads and the rows that they return.
type countingStore struct {
	*memoryStore
	reads int
	rows  int
}

func (c *countingStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	page, err := c.memoryStore.Read(ctx, r)
	c.reads++
	c.rows += len(page.Rows)
	return page, err
}

// TestCostOfAdmission guards against a sum whose cost grows with the number of organisations or of their jobs.
func TestCostOfAdmission(t *testing.T) {
	for name, others := range map[string]int{
		"no other organisation":   0,
		"80 other organisations":  80,
		"300 other organisations": 300,
	} {
		t.Run(name, func(t *testing.T) {
			m := newMemoryStore()
			mgr := newManager(t, m, "vm")
			for n := range others {
				organisation := route.OrganisationID(fmt.Sprintf("other-%d", n))
				for k := range 3 {
					assert.NilError(t, mgr.Accept(context.Background(), ofOrganisation(organisation, JobID(fmt.Sprintf("j-%d-%d", n, k)), 10), jobRoute))
				}
			}
			assert.NilError(t, mgr.Accept(context.Background(), ofOrganisation("a", "j1", 4), jobRoute))
			counted := &countingStore{
				memoryStore: m,
			}
			// The jobs read the store as well, so the calls of an acceptance are made with a ledger of their own.
			l := ledger{
				store: counted,
			}
			rows := newAdmissionRange("a", 4, jobRoute.TokenCap)
			_, err := rows.read(context.Background(), counted)
			assert.NilError(t, err)
			claims, err := l.claimsOf(context.Background(), "a")
			assert.NilError(t, err)
			assert.Equal(t, len(claims.Rows), 1)
			assert.Equal(t, counted.reads, 2)
			assert.Assert(t, counted.rows <= 2, "%d", counted.rows)
		})
	}
}

// TestRowsFor guards against acceptances that do not see each other and exceed the cap by more than a tenth: the rows that a job
// replaces stand for at least its tokens, and all rows for a tenth of the cap, or for half of the room where that is more.
func TestRowsFor(t *testing.T) {
	const tokenCap = 3_200_000
	tests := map[string]struct {
		tokens     int64
		openTokens int64
		tokenCap   int64
		want       int
	}{
		"no tokens":                 {tokens: 0, openTokens: tokenCap, tokenCap: tokenCap, want: 1},
		"a row's tokens":            {tokens: 10_000, openTokens: tokenCap, tokenCap: tokenCap, want: 1},
		"one more":                  {tokens: 10_001, openTokens: tokenCap, tokenCap: tokenCap, want: 2},
		"three rows":                {tokens: 30_000, openTokens: tokenCap, tokenCap: tokenCap, want: 3},
		"a tenth of the cap":        {tokens: 320_000, openTokens: tokenCap, tokenCap: tokenCap, want: admissionRows},
		"the whole cap":             {tokens: tokenCap, openTokens: 0, tokenCap: tokenCap, want: admissionRows},
		"at nine tenths":            {tokens: 30_000, openTokens: tokenCap * 9 / 10, tokenCap: tokenCap, want: 3},
		"half of the cap is left":   {tokens: 30_000, openTokens: tokenCap / 2, tokenCap: tokenCap, want: 1},
		"half of the room":          {tokens: 1_760_000, openTokens: 0, tokenCap: tokenCap, want: admissionRows},
		"beyond the cap":            {tokens: 10_000, openTokens: 2 * tokenCap, tokenCap: tokenCap, want: 1},
		"more tokens than fit":      {tokens: 1 << 62, openTokens: 0, tokenCap: tokenCap, want: admissionRows},
		"a cap less than the rows":  {tokens: 1, openTokens: 300, tokenCap: 300, want: admissionRows},
		"a deployment without caps": {tokens: 10, openTokens: 0, tokenCap: 0, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, rowsFor(test.tokens, test.openTokens, test.tokenCap), test.want)
		})
	}
}

// TestPartOfRange guards against parts that reach beyond their range, whose rows have not been read.
func TestPartOfRange(t *testing.T) {
	all := admissionRange{
		organisation: "o",
		rows:         admissionRows,
	}
	for rows := 1; rows <= admissionRows; rows++ {
		outer := all.part(rows)
		assert.Assert(t, outer.rows == rows && outer.first >= 0 && outer.first+rows <= admissionRows)
		for inner := 1; inner <= rows; inner++ {
			p := outer.part(inner)
			assert.Assert(t, p.rows == inner && p.first >= outer.first && p.first+inner <= outer.first+rows)
		}
	}
}
