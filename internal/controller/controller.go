// Package controller serves the operators' HTTP API: the document, the fleet's state and reports.
//
// The document is the configuration of the whole system. It consists of sections, each of which has its own version and
// owners; every accepted change gives the document a new revision.
package controller

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

// Documents provides the document in force.
type Documents interface {
	View() *document.View
	// Accepted puts a change in force that the store has just committed. The view includes the change.
	Accepted(ctx context.Context, view *document.View, change document.Change)
	// Refresh reads the document's latest revision from the platform.
	Refresh(ctx context.Context) error
}

// Store commits changes and reads earlier ones.
type Store interface {
	// AcceptOn validates a change against the newest document, starting from the view, and commits it. It returns a
	// view that includes the change, and the change as committed.
	AcceptOn(ctx context.Context, view *document.View, change document.Change) (*document.View, document.Change, error)
	// Snapshot stores the whole document.
	Snapshot(ctx context.Context, doc document.Document) error
	// Changes returns the changes after the revision, oldest first and at most limit of them.
	Changes(ctx context.Context, after document.Revision, limit int) ([]document.Change, error)
}

// Members tells which processes are alive and which are expected.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
	// Majority reports whether more than half of the listed VMs are alive and, if other VMs are listed, one of them has
	// answered within the given time.
	Majority(within time.Duration) bool
	// Listed returns every process that is expected to run according to the VM list.
	Listed() []fleet.Member
}

// Directory lists the endpoints that take new work.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
}

// Caller calls net/rpc methods of other processes.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Controller serves operators.
type Controller struct {
	documents Documents
	store     Store
	members   Members
	directory Directory
	caller    Caller
	jobs      Jobs
	root      document.Hash
	log       *slog.Logger
	snapshots sync.WaitGroup
}

// Parts holds the dependencies of a controller.
type Parts struct {
	Documents Documents
	Store     Store
	Members   Members
	Directory Directory
	Caller    Caller
	Jobs      Jobs
	// Root is the hash of the operator's token, which may change every section.
	Root document.Hash
	Log  *slog.Logger
}

// New returns a controller.
func New(parts Parts) *Controller {
	return &Controller{
		documents: parts.Documents,
		store:     parts.Store,
		members:   parts.Members,
		directory: parts.Directory,
		caller:    parts.Caller,
		jobs:      parts.Jobs,
		root:      parts.Root,
		log:       parts.Log,
	}
}

// Handler returns the HTTP handler for operators.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /document/{section}", c.authenticated(c.serveSection))
	mux.HandleFunc("PUT /document/{section}", c.authenticated(c.servePut))
	mux.HandleFunc("GET /history", c.authenticated(c.serveHistory))
	mux.HandleFunc("GET /status", c.authenticated(c.serveStatus))
	mux.HandleFunc("GET /fleet", c.authenticated(c.serveFleet))
	mux.HandleFunc("GET /report/burn", c.authenticated(c.serveBurn))
	mux.HandleFunc("GET /report/fairness", c.authenticated(c.serveFairness))
	mux.HandleFunc("GET /explain/{id...}", c.authenticated(c.serveExplain))
	return mux
}

// authenticated returns a handler that refuses requests whose token owns no section.
func (c *Controller) authenticated(serve func(w http.ResponseWriter, r *http.Request, token document.Hash)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		token := document.HashOf(bearer)
		if bearer == "" || !c.ownsAnySection(token) {
			writeJSON(w, http.StatusUnauthorized, Failure{
				Code:    "WrongToken",
				Message: "the token is missing or wrong",
			})
			return
		}
		serve(w, r, token)
	}
}

func (c *Controller) ownsAnySection(token document.Hash) bool {
	for _, name := range document.SectionNames() {
		if c.owns(token, name) {
			return true
		}
	}
	return false
}

func (c *Controller) owns(token document.Hash, name document.SectionName) bool {
	// All owners are compared, so that the time taken does not reveal which one matches.
	isOwner := equalHashes(token, c.root)
	for _, owner := range c.documents.View().Document().Sections[name].Owners {
		isOwner = equalHashes(token, owner) || isOwner
	}
	return isOwner
}

func equalHashes(a, b document.Hash) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func (c *Controller) serveHistory(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	changes, err := c.store.Changes(r.Context(), document.Revision(after), historyPageSize)
	if err != nil {
		c.log.Warn("history not read", "code", c.writeError(w, err), "after", after, "err", err)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

// historyPageSize is the maximum number of changes in one answer.
const historyPageSize = 100

// FleetBody lists the members and endpoints that a controller knows.
type FleetBody struct {
	Members   []fleet.Member
	Endpoints []endpoint.Endpoint
}

func (c *Controller) serveFleet(w http.ResponseWriter, _ *http.Request, _ document.Hash) {
	var body FleetBody
	for _, role := range []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController} {
		body.Members = append(body.Members, c.members.Alive(role)...)
	}
	for name := range c.documents.View().Services {
		body.Endpoints = append(body.Endpoints, c.directory.Serving(name)...)
	}
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
