package standin

import (
	"encoding/xml"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Objects is an object store in memory.
type Objects struct {
	mu      sync.Mutex
	objects map[string]object
	puts    int64
	gets    int64
	Faults  *Faults
}

type object struct {
	data     []byte
	modified time.Time
}

// NewObjects returns an empty object store.
func NewObjects(faults *Faults) *Objects {
	return &Objects{
		objects: map[string]object{},
		Faults:  faults,
	}
}

// ObjectStats counts the operations of an object store.
type ObjectStats struct {
	Puts int64
	Gets int64
}

// Stats returns the numbers of put and get operations.
func (o *Objects) Stats() ObjectStats {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ObjectStats{
		Puts: o.puts,
		Gets: o.gets,
	}
}

// Data returns an object's data and whether it exists, for checks in tests.
func (o *Objects) Data(name tablestore.ObjectName) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.objects[string(name)]
	return found.data, ok
}

// Names returns the names that begin with the prefix, in order.
func (o *Objects) Names(prefix string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name := range o.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// ServeHTTP answers one request of S3's REST protocol; the path is /bucket/name.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch r.Method {
	case http.MethodPut:
		o.servePut(w, r, name)
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.objects, name)
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		if r.URL.Query().Get("list-type") == "2" {
			o.serveList(w, r)
			return
		}
		o.serveGet(w, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		dropConnection()
	}
	o.mu.Lock()
	o.puts++
	o.objects[name] = object{
		data:     data,
		modified: time.Now(),
	}
	o.mu.Unlock()
	if o.Faults.loseAnswer(name, true) {
		dropConnection()
	}
	w.WriteHeader(http.StatusOK)
}

func (o *Objects) serveGet(w http.ResponseWriter, name string) {
	o.mu.Lock()
	o.gets++
	found, ok := o.objects[name]
	o.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(found.data)))
	_, _ = w.Write(found.data)
}

func (o *Objects) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("max-keys"))
	if err != nil {
		limit = 1000
	}
	result := tablestore.ListBucketResult{}
	for _, name := range o.Names(query.Get("prefix")) {
		if name <= query.Get("start-after") {
			continue
		}
		if len(result.Contents) == limit {
			break
		}
		result.Contents = append(result.Contents, o.listed(name))
	}
	w.Header().Set("Content-Type", "application/xml")
	_ = xml.NewEncoder(w).Encode(result)
}

func (o *Objects) listed(name string) tablestore.ListedContent {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.objects[name]
	return tablestore.ListedContent{
		Key:          name,
		Size:         int64(len(found.data)),
		LastModified: found.modified,
	}
}
