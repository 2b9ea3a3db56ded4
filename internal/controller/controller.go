// Package controller serves operators: the document, the fleet's state and reports.
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

// Documents is the document in force.
type Documents interface {
	View() *document.View
	Accepted(ctx context.Context, view *document.View, change document.Change)
	Refresh(ctx context.Context) error
}

// Store accepts changes.
type Store interface {
	AcceptOn(ctx context.Context, view *document.View, change document.Change) (*document.View, document.Change, error)
	Snapshot(ctx context.Context, doc document.Document) error
	Changes(ctx context.Context, after document.Revision, limit int) ([]document.Change, error)
}

// Members lists the processes alive.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
	Majority(within time.Duration) bool
	Listed() []fleet.Member
}

// Directory lists the endpoints that take new work.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
}

// Caller calls a method of a peer.
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

// Parts is what a controller depends on.
type Parts struct {
	Documents Documents
	Store     Store
	Members   Members
	Directory Directory
	Caller    Caller
	Jobs      Jobs
	// Root is the hash of the token that may change every section.
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

// Handler returns the operators' HTTP handler.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /document/{section}", c.as(c.serveSection))
	mux.HandleFunc("PUT /document/{section}", c.as(c.servePut))
	mux.HandleFunc("GET /history", c.as(c.serveHistory))
	mux.HandleFunc("GET /status", c.as(c.serveStatus))
	mux.HandleFunc("GET /fleet", c.as(c.serveFleet))
	mux.HandleFunc("GET /report/burn", c.as(c.serveBurn))
	mux.HandleFunc("GET /report/fairness", c.as(c.serveFairness))
	mux.HandleFunc("GET /explain/{id...}", c.as(c.serveExplain))
	return mux
}

// as refuses operators without a token that owns something.
func (c *Controller) as(serve func(w http.ResponseWriter, r *http.Request, token document.Hash)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		token := document.HashOf(given)
		if given == "" || !c.known(token) {
			writeJSON(w, http.StatusUnauthorized, Failure{
				Code:    "WrongToken",
				Message: "the token is missing or wrong",
			})
			return
		}
		serve(w, r, token)
	}
}

func (c *Controller) known(token document.Hash) bool {
	for _, name := range document.SectionNames() {
		if c.owns(token, name) {
			return true
		}
	}
	return false
}

func (c *Controller) owns(token document.Hash, name document.SectionName) bool {
	owned := same(token, c.root)
	for _, owner := range c.documents.View().Document().Sections[name].Owners {
		owned = same(token, owner) || owned
	}
	return owned
}

func same(a, b document.Hash) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func (c *Controller) serveHistory(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	changes, err := c.store.Changes(r.Context(), document.Revision(after), historyPage)
	if err != nil {
		c.fail(w, "", err)
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

// historyPage is how many changes one answer holds.
const historyPage = 100

// FleetBody is the fleet as a controller sees it.
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
