package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"rhubarbrudder/internal/tablestore"
)

// Platform is a stand-in for the platform of package tablestore: the table service, the object store and the VM list.
// It does not speak the protocol of package platform, whose stand-in is in test/platform. Its handler serves the table
// service at /, objects at /objects, the VM list at /vms, rows of the table at /rows and operation counts at /stats.
// Faults are set at /faults/table, /faults/objects and /faults/vms.
type Platform struct {
	Table   *Table
	Objects *Objects
	VMs     *VMList
}

// NewPlatform returns an empty platform. The seed determines its random faults; lag is the lag of the VM list.
func NewPlatform(seed uint64, lag time.Duration) *Platform {
	return &Platform{
		Table:   NewTable(NewFaults(seed)),
		Objects: NewObjects(NewFaults(seed + 1)),
		VMs:     NewVMList(NewFaults(seed+2), lag),
	}
}

// PlatformStats counts the operations of a platform.
type PlatformStats struct {
	Table   TableStats
	Objects ObjectStats
}

// Stats returns the numbers of operations.
func (p *Platform) Stats() PlatformStats {
	return PlatformStats{
		Table:   p.Table.Stats(),
		Objects: p.Objects.Stats(),
	}
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.Table.Faults.wrap(p.Table))
	mux.Handle("/objects/", p.Objects.Faults.wrap(p.Objects))
	mux.Handle("/objects", p.Objects.Faults.wrap(p.Objects))
	mux.Handle("GET /vms", p.VMs.faults.wrap(p.VMs))
	mux.HandleFunc("PUT /vms", p.VMs.servePut)
	mux.Handle("PUT /faults/table", p.Table.Faults)
	mux.Handle("PUT /faults/objects", p.Objects.Faults)
	mux.Handle("PUT /faults/vms", p.VMs.faults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Stats())
	})
	mux.HandleFunc("GET /rows", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, p.Table.Rows(r.URL.Query().Get("prefix")))
	})
	return mux
}

// VMList is a list of VMs whose readers see changes after a lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	lags    map[string]time.Duration
	history []vmListState
	faults  *Faults
}

type vmListState struct {
	setAt time.Time
	vms   []tablestore.VM
}

// NewVMList returns an empty list with the lag.
func NewVMList(faults *Faults, lag time.Duration) *VMList {
	return &VMList{
		lag:    lag,
		lags:   map[string]time.Duration{},
		faults: faults,
	}
}

// SetLag sets a separate lag for one reader. A reader gives its name in the query of the URL, as in /vms?reader=vm-0.
func (l *VMList) SetLag(reader string, lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lags[reader] = lag
}

// Set replaces the list. The first list is visible immediately.
func (l *VMList) Set(vms []tablestore.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := vmListState{
		vms: vms,
	}
	if len(l.history) > 0 {
		state.setAt = time.Now()
	}
	l.history = append(l.history, state)
}

func (l *VMList) visible(reader string) []tablestore.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	lag, hasOwn := l.lags[reader]
	if !hasOwn {
		lag = l.lag
	}
	for i := len(l.history) - 1; i >= 0; i-- {
		if time.Since(l.history[i].setAt) >= lag {
			return l.history[i].vms
		}
	}
	return nil
}

// ServeHTTP answers with the list as it was one lag ago; each reader may have a lag of its own.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, l.visible(r.URL.Query().Get("reader")))
}

func (l *VMList) servePut(w http.ResponseWriter, r *http.Request) {
	var vms []tablestore.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vms)
}
