package tablestore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"
)

// TableName is the name of a table of the table service.
type TableName string

// Table is a client of the table service.
type Table struct {
	name   TableName
	base   *sling.Sling
	budget *Budget
}

// requestTimeout limits one call to the table service or the VM list.
const requestTimeout = 5 * time.Second

// NewTable returns a client of the table at the URL. A nil budget does not limit it.
func NewTable(client *http.Client, url string, name TableName, budget *Budget) *Table {
	return &Table{
		name:   name,
		base:   sling.New().Client(client).Base(url).Set("Content-Type", "application/x-amz-json-1.0"),
		budget: budget,
	}
}

// Get returns a row, read consistently, or ErrNotFound.
func (t *Table) Get(ctx context.Context, key Key) (Row, error) {
	if err := t.budget.waitRead(ctx); err != nil {
		return Row{}, err
	}
	var out GetItemOutput
	err := t.call(ctx, "GetItem", GetItem{
		TableName:      string(t.name),
		Key:            KeyItem(key),
		ConsistentRead: true,
	}, &out)
	if err != nil {
		return Row{}, readError(err)
	}
	if len(out.Item) == 0 {
		return Row{}, ErrNotFound
	}
	return itemRow(out.Item), nil
}

// Page returns up to limit rows of a partition whose sort keys follow the given one, in order of their sort keys.
func (t *Table) Page(ctx context.Context, partition, after string, limit int) ([]Row, error) {
	if err := t.budget.waitRead(ctx); err != nil {
		return nil, err
	}
	if after == "" {
		// The value in a key condition must not be empty. Every sort key in use follows a space.
		after = " "
	}
	var out QueryOutput
	err := t.call(ctx, "Query", Query{
		TableName:                string(t.name),
		KeyConditionExpression:   QueryAfter,
		ExpressionAttributeNames: map[string]string{"#p": attributePartition, "#s": attributeSort},
		ExpressionAttributeValues: Item{
			":p": text(partition),
			":s": text(after),
		},
		Limit:          limit,
		ConsistentRead: true,
	}, &out)
	if err != nil {
		return nil, readError(err)
	}
	rows := make([]Row, 0, len(out.Items))
	for _, item := range out.Items {
		rows = append(rows, itemRow(item))
	}
	return rows, nil
}

// pageRows is the number of rows that All requests at a time.
const pageRows = 1000

// All returns all rows of a partition in order of their sort keys.
func (t *Table) All(ctx context.Context, partition string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, err := t.Page(ctx, partition, after, pageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < pageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key.Sort
	}
}

// Commit applies the transaction. It returns ErrConflict or ErrUnavailable if nothing was applied,
// and ErrUnknown if it may have been.
func (t *Table) Commit(ctx context.Context, txn Txn) error {
	if err := t.budget.waitWrite(ctx, txn); err != nil {
		return err
	}
	request := TransactWriteItems{}
	for _, write := range txn.Writes {
		request.TransactItems = append(request.TransactItems, wireAction(string(t.name), write))
	}
	return t.call(ctx, "TransactWriteItems", request, nil)
}

func (t *Table) call(ctx context.Context, operation string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := t.base.New().Post("/").Set(TargetHeader, TargetPrefix+operation).BodyJSON(in).Request()
	if err != nil {
		return oops.In("tablestore").Wrap(err)
	}
	var failure WireError
	response, err := t.base.New().Do(req.WithContext(ctx), out, &failure)
	if err != nil {
		return transportError(response, err)
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	return wireError(response.StatusCode, failure)
}

// transportError returns ErrUnavailable for a request that was never sent or was rejected, and ErrUnknown for one whose
// answer was lost.
func transportError(response *http.Response, err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return oops.In("tablestore").Wrap(errors.Join(ErrUnavailable, err))
	}
	if response != nil && response.StatusCode == http.StatusServiceUnavailable {
		return ErrUnavailable
	}
	return oops.In("tablestore").Wrap(errors.Join(ErrUnknown, err))
}

func wireError(status int, failure WireError) error {
	if status == http.StatusServiceUnavailable {
		return ErrUnavailable
	}
	if status >= http.StatusInternalServerError {
		return ErrUnknown
	}
	kind := failure.Type[strings.LastIndex(failure.Type, "#")+1:]
	switch kind {
	case "TransactionCanceledException":
		return canceledError(failure.CancellationReasons)
	case "ConditionalCheckFailedException":
		return ErrConflict
	case "ThrottlingException", "ProvisionedThroughputExceededException", "RequestLimitExceeded":
		return ErrUnavailable
	}
	return oops.In("tablestore").With("Type", failure.Type, "Message", failure.Message).Wrap(ErrInvalid)
}

func canceledError(reasons []CancellationReason) error {
	for _, reason := range reasons {
		if reason.Code == "ConditionalCheckFailed" {
			return ErrConflict
		}
	}
	return ErrUnavailable
}

// readError turns ErrUnknown into ErrUnavailable, because a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return errors.Join(ErrUnavailable, err)
	}
	return err
}
