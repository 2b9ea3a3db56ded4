package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Table is a transactional table service in memory.
type Table struct {
	mu         sync.Mutex
	partitions map[string]*partition
	writes     int64
	reads      int64
	txns       int64
	Faults     *Faults
}

type partition struct {
	items map[string]tablestore.Item
	// previous holds rows as they were before their last write; stale reads return them.
	previous map[string]tablestore.Item
	// sortKeys holds the keys of items in order.
	sortKeys []string
}

// TableStats counts the operations of a table service.
type TableStats struct {
	Writes int64
	Reads  int64
	Txns   int64
}

// NewTable returns an empty table service.
func NewTable(faults *Faults) *Table {
	return &Table{
		partitions: map[string]*partition{},
		Faults:     faults,
	}
}

// Stats returns the numbers of row writes, reads and transactions.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableStats{
		Writes: t.writes,
		Reads:  t.reads,
		Txns:   t.txns,
	}
}

// Rows returns the rows of every partition whose name begins with the prefix, for checks in tests.
func (t *Table) Rows(prefix string) []tablestore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []tablestore.Row
	for name, part := range t.partitions {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		for _, sort := range part.sortKeys {
			item := part.items[sort]
			rows = append(rows, tablestore.Row{
				Key:     tablestore.ItemKey(item),
				Version: tablestore.ItemVersion(item),
				Data:    item["Data"].B,
			})
		}
	}
	return rows
}

// ServeHTTP answers one operation of DynamoDB's JSON protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.Header.Get(tablestore.TargetHeader), tablestore.TargetPrefix)
	switch operation {
	case "GetItem":
		t.serveGet(w, r)
	case "Query":
		t.serveQuery(w, r)
	case "TransactWriteItems":
		t.serveTransact(w, r)
	default:
		writeJSON(w, http.StatusBadRequest, tablestore.WireError{
			Type:    "UnknownOperationException",
			Message: operation,
		})
	}
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	var in tablestore.GetItem
	if !decode(w, r, &in) {
		return
	}
	t.mu.Lock()
	t.reads++
	key := tablestore.ItemKey(in.Key)
	item := t.item(key)
	if part := t.partitions[key.Partition]; part != nil && t.Faults.staleRead() {
		item = part.previous[key.Sort]
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, tablestore.GetItemOutput{
		Item: item,
	})
}

func (t *Table) serveQuery(w http.ResponseWriter, r *http.Request) {
	var in tablestore.Query
	if !decode(w, r, &in) {
		return
	}
	t.mu.Lock()
	items := t.query(in)
	t.reads += int64(1 + len(items)/rowsPerRead)
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, tablestore.QueryOutput{
		Items: items,
	})
}

// rowsPerRead is the number of small rows in a query that count as one read.
const rowsPerRead = 100

func (t *Table) query(in tablestore.Query) []tablestore.Item {
	part := t.partitions[in.ExpressionAttributeValues.Text(":p")]
	if part == nil {
		return nil
	}
	after := in.ExpressionAttributeValues.Text(":s")
	start, found := slices.BinarySearch(part.sortKeys, after)
	if found {
		start++
	}
	var items []tablestore.Item
	for _, sort := range part.sortKeys[start:] {
		if len(items) == in.Limit {
			break
		}
		if item := part.items[sort]; !expired(item) {
			items = append(items, item)
		}
	}
	return items
}

func (t *Table) serveTransact(w http.ResponseWriter, r *http.Request) {
	var in tablestore.TransactWriteItems
	if !decode(w, r, &in) {
		return
	}
	if len(in.TransactItems) > tablestore.MaxWrites {
		writeJSON(w, http.StatusBadRequest, tablestore.WireError{
			Type:    "ValidationException",
			Message: "too many items",
		})
		return
	}
	firstPartition, failure := t.apply(in)
	if t.Faults.loseAnswer(firstPartition, failure == nil) {
		dropConnection()
	}
	if failure != nil {
		writeJSON(w, http.StatusBadRequest, failure)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// apply executes a transaction and returns the first row's partition, and the error if a condition failed.
func (t *Table) apply(in tablestore.TransactWriteItems) (string, *tablestore.WireError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.txns++
	firstPartition := ""
	failed := false
	reasons := make([]tablestore.CancellationReason, len(in.TransactItems))
	for i, action := range in.TransactItems {
		write, key := actionWrite(action)
		if firstPartition == "" {
			firstPartition = key.Partition
		}
		t.writes++
		reasons[i].Code = "None"
		if !t.conditionHolds(write, key) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return firstPartition, &tablestore.WireError{
			Type:                "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
			Message:             "Transaction cancelled",
			CancellationReasons: reasons,
		}
	}
	for _, action := range in.TransactItems {
		t.applyAction(action)
	}
	return firstPartition, nil
}

func actionWrite(action tablestore.WireAction) (*tablestore.WireWrite, tablestore.Key) {
	switch {
	case action.Put != nil:
		return action.Put, tablestore.ItemKey(action.Put.Item)
	case action.Delete != nil:
		return action.Delete, tablestore.ItemKey(action.Delete.Key)
	default:
		return action.ConditionCheck, tablestore.ItemKey(action.ConditionCheck.Key)
	}
}

func (t *Table) conditionHolds(write *tablestore.WireWrite, key tablestore.Key) bool {
	item := t.item(key)
	switch write.ConditionExpression {
	case "":
		return true
	case tablestore.ConditionAbsent:
		return item == nil
	default:
		return item != nil && item.Number("Version") == write.ExpressionAttributeValues.Number(":v")
	}
}

func (t *Table) applyAction(action tablestore.WireAction) {
	write, key := actionWrite(action)
	part := t.partitions[key.Partition]
	if part == nil {
		part = &partition{
			items:    map[string]tablestore.Item{},
			previous: map[string]tablestore.Item{},
		}
		t.partitions[key.Partition] = part
	}
	at, found := slices.BinarySearch(part.sortKeys, key.Sort)
	switch {
	case action.Put != nil:
		if !found {
			part.sortKeys = slices.Insert(part.sortKeys, at, key.Sort)
		}
		part.previous[key.Sort] = part.items[key.Sort]
		part.items[key.Sort] = write.Item
	case action.Delete != nil && found:
		part.sortKeys = slices.Delete(part.sortKeys, at, at+1)
		delete(part.items, key.Sort)
	}
}

func (t *Table) item(key tablestore.Key) tablestore.Item {
	part := t.partitions[key.Partition]
	if part == nil {
		return nil
	}
	item := part.items[key.Sort]
	if expired(item) {
		return nil
	}
	return item
}

func expired(item tablestore.Item) bool {
	at := tablestore.ItemExpires(item)
	return at > 0 && at < time.Now().Unix()
}

func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		writeJSON(w, http.StatusBadRequest, tablestore.WireError{
			Type:    "SerializationException",
			Message: err.Error(),
		})
		return false
	}
	return true
}
