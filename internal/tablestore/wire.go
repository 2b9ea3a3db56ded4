package tablestore

import (
	"strconv"
	"time"
)

// AttributeValue is a value in DynamoDB's JSON protocol.
type AttributeValue struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// Item is a row in DynamoDB's JSON protocol.
type Item map[string]AttributeValue

// WireWrite is a Put, Delete or ConditionCheck of a transaction in DynamoDB's JSON protocol.
type WireWrite struct {
	TableName                 string            `json:"TableName"`
	Item                      Item              `json:"Item,omitempty"`
	Key                       Item              `json:"Key,omitempty"`
	ConditionExpression       string            `json:"ConditionExpression,omitempty"`
	ExpressionAttributeNames  map[string]string `json:"ExpressionAttributeNames,omitempty"`
	ExpressionAttributeValues Item              `json:"ExpressionAttributeValues,omitempty"`
}

// WireAction is one action of a transaction. Exactly one of its fields is set.
type WireAction struct {
	Put            *WireWrite `json:"Put,omitempty"`
	Delete         *WireWrite `json:"Delete,omitempty"`
	ConditionCheck *WireWrite `json:"ConditionCheck,omitempty"`
}

// TransactWriteItems is the request of the same name in DynamoDB's protocol.
type TransactWriteItems struct {
	TransactItems []WireAction `json:"TransactItems"`
}

// GetItem is the request of the same name in DynamoDB's protocol.
type GetItem struct {
	TableName      string `json:"TableName"`
	Key            Item   `json:"Key"`
	ConsistentRead bool   `json:"ConsistentRead"`
}

// GetItemOutput is the answer to GetItem.
type GetItemOutput struct {
	Item Item `json:"Item,omitempty"`
}

// Query is the request of the same name in DynamoDB's protocol.
type Query struct {
	TableName                 string            `json:"TableName"`
	KeyConditionExpression    string            `json:"KeyConditionExpression"`
	ExpressionAttributeNames  map[string]string `json:"ExpressionAttributeNames"`
	ExpressionAttributeValues Item              `json:"ExpressionAttributeValues"`
	Limit                     int               `json:"Limit"`
	ConsistentRead            bool              `json:"ConsistentRead"`
}

// QueryOutput is the answer to Query.
type QueryOutput struct {
	Items            []Item `json:"Items"`
	LastEvaluatedKey Item   `json:"LastEvaluatedKey,omitempty"`
}

// WireError is an error in DynamoDB's JSON protocol.
type WireError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []CancellationReason `json:"CancellationReasons,omitempty"`
}

// CancellationReason is the reason why one write of a transaction failed.
type CancellationReason struct {
	Code string `json:"Code"`
}

const (
	// TargetHeader is the header with the operation of a request.
	TargetHeader = "X-Amz-Target"
	// TargetPrefix precedes the name of the operation in the header.
	TargetPrefix = "DynamoDB_20120810."
	// ConditionAbsent is the expression for a row that must not exist.
	ConditionAbsent = "attribute_not_exists(#p)"
	// ConditionVersionEquals is the expression for a row that must have version :v.
	ConditionVersionEquals = "#v = :v"
	// QueryAfter is the key condition for the rows of partition :p after sort key :s.
	QueryAfter = "#p = :p AND #s > :s"
)

const (
	attributePartition = "Partition"
	attributeSort      = "Sort"
	attributeVersion   = "Version"
	attributeData      = "Data"
	attributeExpires   = "Expires"
)

func text(s string) AttributeValue {
	return AttributeValue{
		S: &s,
	}
}

func number(n int64) AttributeValue {
	s := strconv.FormatInt(n, 10)
	return AttributeValue{
		N: &s,
	}
}

func (v AttributeValue) text() string {
	if v.S == nil {
		return ""
	}
	return *v.S
}

func (v AttributeValue) number() int64 {
	if v.N == nil {
		return 0
	}
	n, err := strconv.ParseInt(*v.N, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Text returns a string attribute of the item, or "".
func (i Item) Text(name string) string {
	return i[name].text()
}

// Number returns a number attribute of the item, or 0.
func (i Item) Number(name string) int64 {
	return i[name].number()
}

// KeyItem returns the key in DynamoDB's JSON protocol.
func KeyItem(key Key) Item {
	return Item{
		attributePartition: text(key.Partition),
		attributeSort:      text(key.Sort),
	}
}

// ItemKey returns the key of an item.
func ItemKey(item Item) Key {
	return Key{
		Partition: item.Text(attributePartition),
		Sort:      item.Text(attributeSort),
	}
}

// ItemVersion returns the version of an item.
func ItemVersion(item Item) Version {
	return Version(item.Number(attributeVersion))
}

// ItemExpires returns when an item expires, in Unix seconds, or 0.
func ItemExpires(item Item) int64 {
	return item.Number(attributeExpires)
}

func itemRow(item Item) Row {
	return Row{
		Key:     ItemKey(item),
		Version: ItemVersion(item),
		Data:    item[attributeData].B,
	}
}

func wireAction(table string, write Write) WireAction {
	wire := &WireWrite{
		TableName: table,
	}
	setCondition(wire, write)
	switch write.Action {
	case ActionDelete:
		wire.Key = KeyItem(write.Key)
		return WireAction{
			Delete: wire,
		}
	case ActionCheck:
		wire.Key = KeyItem(write.Key)
		return WireAction{
			ConditionCheck: wire,
		}
	default:
		wire.Item = writeItem(write)
		return WireAction{
			Put: wire,
		}
	}
}

func setCondition(wire *WireWrite, write Write) {
	if write.Condition == ConditionNone {
		return
	}
	if write.Version == 0 {
		wire.ConditionExpression = ConditionAbsent
		wire.ExpressionAttributeNames = map[string]string{"#p": attributePartition}
		return
	}
	wire.ConditionExpression = ConditionVersionEquals
	wire.ExpressionAttributeNames = map[string]string{"#v": attributeVersion}
	wire.ExpressionAttributeValues = Item{":v": number(int64(write.Version))}
}

func writeItem(write Write) Item {
	item := KeyItem(write.Key)
	item[attributeVersion] = number(int64(write.Version) + 1)
	item[attributeData] = AttributeValue{
		B: write.Data,
	}
	if !write.Expires.IsZero() {
		item[attributeExpires] = number(write.Expires.Truncate(time.Second).Unix())
	}
	return item
}
