package call

import (
	"encoding/json"
	"net/http"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// Name names a call: the key is the caller's.
type Name struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	Key          string
}

const (
	partitionCall = "Call/"
	// shardDigits is how many hex digits of a name's hash choose its partition.
	shardDigits = 2
)

func (n Name) row() tablestore.Key {
	hash := string(document.HashOf(string(n.Organisation) + "\x00" + string(n.Service) + "\x00" + n.Key))
	return tablestore.Key{
		Partition: partitionCall + hash[:shardDigits],
		Sort:      hash,
	}
}

// Answer is a whole answer to a call.
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

// record is a call as stored. Its row is never deleted before it expires, so its version only grows.
type record struct {
	Organisation document.OrganisationID
	Service      document.ServiceName
	Request      document.Hash
	Attempt      request.ID
	Owner        Owner
	Started      time.Time
	// Released says that the attempt provably did not run.
	Released bool    `json:",omitempty"`
	Answer   *Answer `json:",omitempty"`
	// Object holds the answer's body if it is too large for the row.
	Object tablestore.ObjectName `json:",omitempty"`
}

// stored is a record with the version of its row.
type stored struct {
	record  record
	version tablestore.Version
}

const (
	// Retention is how long a call's answer is kept and its key stays used.
	Retention = 7 * 24 * time.Hour
	// largestInRow is the largest body kept in the row; JSON makes it a third longer.
	largestInRow = 200 << 10
)

func (r record) write(key tablestore.Key, version tablestore.Version) (tablestore.Write, error) {
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

func decode(row tablestore.Row) (stored, error) {
	found := stored{
		version: row.Version,
	}
	if err := json.Unmarshal(row.Data, &found.record); err != nil {
		return stored{}, storeError(err)
	}
	return found, nil
}

// objectName is unique to the attempt; the date lets a life-cycle rule drop old answers.
func objectName(started time.Time, attempt request.ID) tablestore.ObjectName {
	return tablestore.ObjectName("calls/" + started.UTC().Format(time.DateOnly) + "/" + string(attempt))
}
