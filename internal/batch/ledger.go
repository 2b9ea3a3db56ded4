package batch

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/store"
)

// Tables of batch jobs. All rows of a job are in one part because a transaction cannot span parts. The ledger table
// holds the id of the job that was last accepted, close to the token cap, on each host, and in each admission row of each
// organisation.
const (
	tableJobs    store.Table = "jobs"
	tableClaims  store.Table = "claims"
	tableItems   store.Table = "items"
	tableResults store.Table = "results"
	tableLedger  store.Table = "ledger"
	// part holds all jobs, because the token cap applies to the sum over all open jobs. One part handles several
	// times the write load of the present number of VMs.
	part store.Part = "0"
)

const (
	// chunkBytes is the size of the rows that hold a job's items, below the store's row limit of 64 KiB.
	chunkBytes = 60_000
	// maxChunks is the number of such rows in a transaction, which leaves room for base64 within its limit of 1 MB.
	maxChunks = 11
	// maxOutputBytes is the amount of output in a transaction, which leaves room for base64 within its limit of 1 MB.
	maxOutputBytes = 600_000
	// maxCommitRows bounds the rows of a transaction, below the store's limit of 100.
	maxCommitRows = 80
)

// ledger reads and writes the rows of jobs in all tables, of which tableLedger is only one.
type ledger struct {
	store store.Store
}

func address(table store.Table, key string) store.Address {
	return store.Address{
		Table: table,
		Part:  part,
		Key:   store.Key(key),
	}
}

// encodeItems encodes the items and splits the encoding into chunks.
func encodeItems(items []Item) ([][]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(items); err != nil {
		return nil, oops.In("batch").Wrap(err)
	}
	var chunks [][]byte
	for data := buffer.Bytes(); len(data) > 0; {
		size := min(chunkBytes, len(data))
		chunks = append(chunks, data[:size])
		data = data[size:]
	}
	return chunks, nil
}

func chunkKey(id JobID, n int) string {
	return fmt.Sprintf("%s/%03d", id, n)
}

func resultKey(id JobID, position, piece int) string {
	return fmt.Sprintf("%s/%05d/%03d", id, position, piece)
}

// jobRange returns the range of a job's keys, from a key on, in a table with several rows per job. The keys begin with
// the job's id and a slash; the character after the slash is 0.
func jobRange(table store.Table, id JobID, from string) store.Range {
	return store.Range{
		Table: table,
		Part:  part,
		From:  store.Key(from),
		To:    store.Key(string(id) + "0"),
	}
}

// insertion returns the transaction that stores a job, which must not exist yet, together with the expectations and rows of admission.
// It stores the items if they are too many for the transaction.
func (l *ledger) insertion(ctx context.Context, timeout time.Duration, id JobID, m manifest, c claim, chunks [][]byte, admission store.Transaction) (store.Transaction, error) {
	if m.Chunks == 0 {
		object := bytes.Join(chunks, nil)
		ctx, cancel := context.WithTimeout(ctx, timeout+sendTime(len(object)))
		defer cancel()
		if err := l.store.PutObject(ctx, objectName(id), object); err != nil && !errors.Is(err, store.ErrConflict) {
			return store.Transaction{}, err
		}
		chunks = nil
	}
	manifestValue, err := json.Marshal(m)
	if err != nil {
		return store.Transaction{}, oops.In("batch").Wrap(err)
	}
	claimValue, err := json.Marshal(c)
	if err != nil {
		return store.Transaction{}, oops.In("batch").Wrap(err)
	}
	txn := store.Transaction{
		Expect: append(admission.Expect, store.Expectation{
			Address: address(tableJobs, string(id)),
		}),
		Put: append(admission.Put, store.Put{
			Address: address(tableJobs, string(id)),
			Value:   manifestValue,
		}, store.Put{
			Address: address(tableClaims, string(claimKey(m.Organisation, id))),
			Value:   claimValue,
		}),
	}
	for n, chunk := range chunks {
		txn.Put = append(txn.Put, store.Put{
			Address: address(tableItems, chunkKey(id, n)),
			Value:   chunk,
		})
	}
	return txn, nil
}

func objectName(id JobID) string {
	return "items-" + string(id)
}

// manifest returns the manifest of a job, or ErrNotFound.
func (l *ledger) manifest(ctx context.Context, id JobID) (manifest, store.Clock, error) {
	var m manifest
	page, err := l.row(ctx, tableJobs, id)
	if err != nil {
		return m, 0, err
	}
	if len(page.Rows) == 0 {
		return m, page.Clock, ErrNotFound
	}
	err = json.Unmarshal(page.Rows[0].Value, &m)
	return m, page.Clock, oops.In("batch").Wrap(err)
}

// row reads the row of a job in a table with one row per job. The range ends before the smallest key after the
// id.
func (l *ledger) row(ctx context.Context, table store.Table, id JobID) (store.Page, error) {
	return l.store.Read(ctx, store.Range{
		Table: table,
		Part:  part,
		From:  store.Key(id),
		To:    store.Key(string(id) + "\x00"),
	})
}

// claim returns the claim of a job and its revision; revision zero means that the job is complete or ended.
func (l *ledger) claim(ctx context.Context, key ClaimKey) (claim, store.Revision, error) {
	page, err := l.row(ctx, tableClaims, JobID(key))
	if err != nil || len(page.Rows) == 0 {
		return claim{}, 0, err
	}
	c, err := decodeClaim(page.Rows[0])
	return c, page.Rows[0].Revision, err
}

func decodeClaim(row store.Row) (claim, error) {
	var c claim
	err := json.Unmarshal(row.Value, &c)
	return c, oops.In("batch").Wrap(err)
}

// claims returns the claims of all open jobs.
func (l *ledger) claims(ctx context.Context) (store.Page, error) {
	return store.ReadAll(ctx, l.store, store.Range{
		Table: tableClaims,
		Part:  part,
	})
}

// write replaces the claim and writes other rows if the claim still has the revision.
func (l *ledger) write(ctx context.Context, key ClaimKey, revision store.Revision, c claim, puts []store.Put) (store.Revision, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return 0, oops.In("batch").Wrap(err)
	}
	txn := store.Transaction{
		Expect: []store.Expectation{
			{
				Address:  address(tableClaims, string(key)),
				Revision: revision,
			},
		},
		Put: append(puts, store.Put{
			Address: address(tableClaims, string(key)),
			Value:   value,
		}),
	}
	commit, err := l.store.Commit(ctx, txn)
	return commit.Revision, err
}

// finish removes the claim and writes the last results if the claim still has the revision.
func (l *ledger) finish(ctx context.Context, key ClaimKey, revision store.Revision, puts []store.Put) error {
	_, err := l.store.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{
			{
				Address:  address(tableClaims, string(key)),
				Revision: revision,
			},
		},
		Put:    puts,
		Remove: []store.Address{address(tableClaims, string(key))},
	})
	return err
}

// itemRows returns a scan of the rows that hold a job's items.
func (l *ledger) itemRows(id JobID) *store.Scan {
	return store.NewScan(l.store, jobRange(tableItems, id, string(id)+"/"))
}

func decodeItems(data []byte) ([]Item, error) {
	var items []Item
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&items)
	return items, oops.In("batch").Wrap(err)
}

// results returns the results from a position on that one page holds completely, or that have arrived within a time, but at least one
// if there is any. The page has up to limit rows, or as many as the store returns if that is zero.
func (l *ledger) results(ctx context.Context, within time.Duration, id JobID, from, limit int) ([]Result, error) {
	r := jobRange(tableResults, id, resultKey(id, from, 0))
	r.Partial = true
	r.Limit = limit
	page, err := l.readWithin(ctx, within, r)
	if err != nil {
		return nil, err
	}
	rows := page.Rows
	if page.More {
		rows = withoutLastResult(rows)
	}
	if len(rows) == 0 && len(page.Rows) > 0 {
		rows, err = l.firstResult(ctx, r, page.Rows)
		if err != nil {
			return nil, err
		}
	}
	return decodeResults(rows)
}

// readWithin reads the rows of a range that arrive within a time, and if there are none, those that arrive until ctx ends.
func (l *ledger) readWithin(ctx context.Context, within time.Duration, r store.Range) (store.Page, error) {
	soon, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	page, err := l.store.Read(soon, r)
	if err == nil || soon.Err() == nil {
		return page, err
	}
	return l.store.Read(ctx, r)
}

// firstResult returns all rows of the first result of a range, whose first rows are given.
func (l *ledger) firstResult(ctx context.Context, r store.Range, rows []store.Row) ([]store.Row, error) {
	key := string(rows[0].Address.Key)
	r.Limit = 0
	r.From = rows[len(rows)-1].Address.Key + "\x00"
	// The character after the slash is 0.
	r.To = store.Key(key[:strings.LastIndexByte(key, '/')] + "0")
	err := store.NewScan(l.store, r).Read(ctx, func(row store.Row) error {
		rows = append(rows, row)
		return nil
	})
	return rows, err
}

// resultRows returns a scan of the rows that hold a job's results.
func (l *ledger) resultRows(id JobID) *store.Scan {
	return store.NewScan(l.store, jobRange(tableResults, id, resultKey(id, 0, 0)))
}

// withoutLastResult returns the rows of a page without those of the last result, which may continue on the next page.
func withoutLastResult(rows []store.Row) []store.Row {
	for n := len(rows) - 1; n >= 0; n-- {
		if piece(rows[n]) == firstPiece {
			return rows[:n]
		}
	}
	return nil
}

// firstPiece is the last segment of the key of a result's first row.
const firstPiece = "000"

func piece(row store.Row) string {
	key := string(row.Address.Key)
	return key[strings.LastIndexByte(key, '/')+1:]
}

// resultHead is the JSON line at the start of a result's first row; the output follows it unchanged.
type resultHead struct {
	Item  ItemID
	State State
}

// encodeResult returns the rows of a result; a long output is split into several.
func encodeResult(id JobID, position int, r Result) ([]store.Put, error) {
	head, err := json.Marshal(resultHead{
		Item:  r.Item,
		State: r.State,
	})
	if err != nil {
		return nil, oops.In("batch").Wrap(err)
	}
	data := append(append(head, '\n'), r.Output...)
	var puts []store.Put
	for n := 0; len(data) > 0; n++ {
		size := min(chunkBytes, len(data))
		puts = append(puts, store.Put{
			Address: address(tableResults, resultKey(id, position, n)),
			Value:   data[:size],
		})
		data = data[size:]
	}
	return puts, nil
}

func decodeResults(rows []store.Row) ([]Result, error) {
	var results []Result
	for _, row := range rows {
		if piece(row) != firstPiece {
			if len(results) > 0 {
				results[len(results)-1].Output += string(row.Value)
			}
			continue
		}
		head, output, err := decodeHead(row)
		if err != nil {
			return nil, err
		}
		results = append(results, Result{
			Item:   head.Item,
			State:  head.State,
			Output: string(output),
		})
	}
	return results, nil
}

// decodeHead splits the first row of a result into its head and the beginning of its output.
func decodeHead(row store.Row) (resultHead, []byte, error) {
	line, output, _ := bytes.Cut(row.Value, []byte("\n"))
	var head resultHead
	err := json.Unmarshal(line, &head)
	return head, output, oops.In("batch").Wrap(err)
}
