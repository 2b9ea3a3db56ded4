package call

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// Name identifies a call. The key is the caller's idempotency key.
type Name struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	Key          string
}

const (
	partitionCall = "Call/"
	// shardDigits is the number of hex digits of a name's hash that choose its partition.
	shardDigits = 2
)

func (n Name) rowKey() tablestore.Key {
	hash := string(document.HashOf(string(n.Organisation) + "\x00" + string(n.Service) + "\x00" + n.Key))
	return tablestore.Key{
		Partition: partitionCall + hash[:shardDigits],
		Sort:      hash,
	}
}

// Answer is a complete answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Owner is the gateway that runs an attempt.
type Owner struct {
	Member  string
	Address string
}

// record is the stored form of a call. Its row is never deleted before it expires, so until then its version
// only grows, and a write that is conditional on an older version fails.
type record struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	// Request is the hash of the request, with which a later request with the same key must agree.
	Request document.Hash
	// Attempt is the ID of the request that made the attempt, and Owner the gateway that runs it.
	Attempt request.ID
	Owner   Owner
	Started time.Time
	// Released reports whether the key was released because the attempt certainly did not run. The next attempt may then
	// replace the record.
	Released bool    `json:",omitempty"`
	Answer   *Answer `json:",omitempty"`
	// Object is the object with the answer's body if that is too large for the row.
	Object tablestore.ObjectName `json:",omitempty"`
}

// versionedRecord is a record with the version of its row.
type versionedRecord struct {
	record  record
	version tablestore.Version
}

const (
	// Retention is how long a call's answer is stored and its key stays in use, from the start of the call.
	Retention = 7 * 24 * time.Hour
	// maxBodyInRow is the largest body that is stored in the row. Base64 in JSON makes it a third longer.
	maxBodyInRow = 200 << 10
)

func (r record) toWrite(key tablestore.Key, version tablestore.Version) (tablestore.Write, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return tablestore.Write{}, storeError(err)
	}
	return tablestore.Write{
		Key:     key,
		Version: version,
		Data:    data,
		Expires: r.Started.Add(Retention),
	}, nil
}

func decode(row tablestore.Row) (versionedRecord, error) {
	found := versionedRecord{
		version: row.Version,
	}
	if err := json.Unmarshal(row.Data, &found.record); err != nil {
		return versionedRecord{}, storeError(err)
	}
	return found, nil
}

// objectName returns the name of the object with an attempt's answer. The date in it lets a life-cycle rule of the
// object store delete old answers.
func objectName(started time.Time, attempt request.ID) tablestore.ObjectName {
	return tablestore.ObjectName("calls/" + started.UTC().Format(time.DateOnly) + "/" + string(attempt))
}
