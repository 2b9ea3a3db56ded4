package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// wireRow is a row of the platform's store as it is sent.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type place struct{ table, part, key string }

// store is a stand-in of the platform's metadata store: sound, linearizable, with the rates and times of the small deployment.
type store struct {
	mu      sync.Mutex
	began   time.Time
	ver     int64
	rows    map[place]wireRow
	history []wireRow
	changed chan struct{}
	blobs   map[string][]byte
	txTime  time.Duration
	answer  time.Duration
	txTurn  sync.Mutex
	// rejected holds the hosts that get 503.
	rejected map[string]bool
}

func newStore() *store {
	return &store{
		began:   time.Now(),
		ver:     100,
		rows:    map[place]wireRow{},
		changed: make(chan struct{}),
		blobs:   map[string][]byte{},
		txTime:  8 * time.Millisecond,
		answer:  4 * time.Millisecond,
	}
}

func (s *store) nowMs() int64 { return 1000 + time.Since(s.began).Milliseconds() }

// apply writes rows as one transaction; the lock must be held.
func (s *store) apply(puts, removes []wireRow) {
	s.ver++
	for _, put := range puts {
		put.Ver, put.Deleted = s.ver, false
		s.rows[place{put.Table, put.Part, put.Key}] = put
		s.history = append(s.history, put)
	}
	for _, gone := range removes {
		at := place{gone.Table, gone.Part, gone.Key}
		if _, ok := s.rows[at]; !ok {
			continue
		}
		delete(s.rows, at)
		s.history = append(s.history, wireRow{Table: gone.Table, Part: gone.Part, Key: gone.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row on behalf of the operator or a server, and returns the time of the store's ack.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]wireRow{{Table: table, Key: key, Value: data}}, nil)
	return time.Now()
}

// remove removes a row likewise.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []wireRow{{Table: table, Key: key}})
	return time.Now()
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = s.nowMs()
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// reject turns the calls of a host away, or serves them again.
func (s *store) reject(host string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejected == nil {
		s.rejected = map[string]bool{}
	}
	s.rejected[host] = rejected
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	rejected := s.rejected[from]
	s.mu.Unlock()
	if rejected {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(503)
		return
	}
	switch path := r.URL.Path; {
	case path == "/rows-tx":
		s.transact(w, r)
	case path == "/rows-get":
		s.get(w, r)
	case path == "/rows-feed":
		s.feed(w, r)
	case path == "/rows-parts":
		s.reply(w, 200, map[string]any{"parts": []string{"", "0"}, "hasMore": false})
	case strings.HasPrefix(path, "/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(404)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ExpectedRevision, Puts, Remove []wireRow
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(400)
		return
	}
	s.txTurn.Lock()
	time.Sleep(6600 * time.Microsecond) // 150 a second in a part
	s.txTurn.Unlock()
	time.Sleep(s.txTime - 6600*time.Microsecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range append(append([]wireRow{}, call.Puts...), call.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	var current []wireRow
	met := true
	for _, e := range call.ExpectedRevision {
		row, ok := s.rows[place{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, row)
		}
		met = met && row.Ver == e.Ver
	}
	if !met {
		s.reply(w, 412, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	s.apply(call.Puts, call.Remove)
	s.reply(w, 200, map[string]any{"ver": s.ver})
}

const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answer)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []wireRow
	for at, row := range s.rows {
		if at.table == q.Get("table") && at.part == q.Get("part") && at.key >= q.Get("from") && (q.Get("to") == "" || at.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	more, bytes := false, 0
	for i, row := range rows {
		bytes += len(row.Value)
		if i == limit || bytes > 1_000_000 && i > 0 {
			rows, more = rows[:i], true
			break
		}
	}
	s.reply(w, 200, map[string]any{"rows": rows, "hasMore": more, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answer)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []wireRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, 200, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, 200, map[string]any{"rows": []wireRow{}, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) blob(w http.ResponseWriter, r *http.Request) {
	time.Sleep(25 * time.Millisecond)
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/blob-"), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.blobs[name]
	switch verb {
	case "put":
		if ok {
			w.WriteHeader(412)
			return
		}
		data, _ = io.ReadAll(r.Body)
		s.blobs[name] = data
	case "get":
		if !ok {
			w.WriteHeader(404)
			return
		}
		_, _ = w.Write(data)
	case "drop":
		delete(s.blobs, name)
	}
}
