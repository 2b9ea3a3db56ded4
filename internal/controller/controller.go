// Package controller serves operators: the document, the fleet's state and reports.
package controller

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
)

// Documents is the document in force.
type Documents interface {
	View() *document.View
	Advance(doc document.Document)
	Refresh(ctx context.Context) error
}

// Store accepts changes.
type Store interface {
	Accept(ctx context.Context, doc document.Document, change document.Change) (document.Document, document.Change, error)
	Changes(ctx context.Context, after document.Revision, limit int) ([]document.Change, error)
}

// Members lists the processes alive.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
	Listed() []fleet.Member
}

// Directory lists the endpoints that take new work.
type Directory interface {
	Serving(service document.ServiceName) []endpoint.Endpoint
}

// Controller serves operators.
type Controller struct {
	documents Documents
	store     Store
	members   Members
	directory Directory
	peers     Peers
	jobs      Jobs
	root      document.Hash
	log       *slog.Logger
}

// Parts is what a controller depends on.
type Parts struct {
	Documents Documents
	Store     Store
	Members   Members
	Directory Directory
	Peers     Peers
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
		peers:     parts.Peers,
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
	mux.HandleFunc("GET /fleet", c.as(c.serveFleet))
	mux.HandleFunc("GET /report/burn", c.as(c.serveBurn))
	mux.HandleFunc("GET /report/fairness", c.as(c.serveFairness))
	mux.HandleFunc("GET /explain/{id...}", c.as(c.serveExplain))
	return mux
}

// Failure is an error as operators are told it.
type Failure struct {
	Code    string
	Message string
	// Current is the section in force, for an editor who lost a race.
	Current *SectionBody `json:",omitempty"`
}

// SectionBody is a section and the version it has.
type SectionBody struct {
	Name     document.SectionName
	Version  document.SectionVersion
	Revision document.Revision
	Entries  map[document.EntryName]json.RawMessage
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

func (c *Controller) section(name document.SectionName) SectionBody {
	doc := c.documents.View().Document()
	return SectionBody{
		Name:     name,
		Version:  doc.Versions[name],
		Revision: doc.Revision,
		Entries:  doc.Sections[name].Entries,
	}
}

func (c *Controller) serveSection(w http.ResponseWriter, r *http.Request, _ document.Hash) {
	body := c.section(document.SectionName(r.PathValue("section")))
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(int64(body.Version), 10)))
	writeJSON(w, http.StatusOK, body)
}

// maxSectionBytes bounds a section as it is put.
const maxSectionBytes = 64 << 20

// headerChangeID carries the id of a change, chosen by the editor.
const headerChangeID = "Idempotency-Key"

func (c *Controller) servePut(w http.ResponseWriter, r *http.Request, token document.Hash) {
	name := document.SectionName(r.PathValue("section"))
	if !c.owns(token, name) {
		c.fail(w, name, document.ErrForbidden)
		return
	}
	change, err := c.change(r, name)
	if err != nil {
		c.fail(w, name, err)
		return
	}
	change.Author = string(token[:8])
	doc, accepted, err := c.store.Accept(r.Context(), c.documents.View().Document(), change)
	if err != nil {
		c.fail(w, name, err)
		return
	}
	c.documents.Advance(doc)
	c.log.Info("change accepted", "change", accepted.ID, "section", name, "revision", accepted.Revision)
	writeJSON(w, http.StatusOK, accepted)
}

// change returns the difference between the section in force and the one in the request's body.
func (c *Controller) change(r *http.Request, name document.SectionName) (document.Change, error) {
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return document.Change{}, errIfMatch
	}
	id := r.Header.Get(headerChangeID)
	if id == "" {
		return document.Change{}, errChangeID
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxSectionBytes))
	if err != nil {
		return document.Change{}, err
	}
	var wanted document.Section
	if err := json.Unmarshal(data, &wanted); err != nil {
		return document.Change{}, errors.Join(document.ErrInvalid, err)
	}
	if err := c.documents.Refresh(r.Context()); err != nil {
		return document.Change{}, err
	}
	change := document.Difference(c.documents.View().Document().Sections[name], wanted)
	change.ID = id
	change.Section = name
	change.Base = document.SectionVersion(base)
	return change, nil
}

var (
	errIfMatch  = errors.New("controller: If-Match must hold the version of the section that was changed")
	errChangeID = errors.New("controller: Idempotency-Key must hold an id for the change")
)

func (c *Controller) fail(w http.ResponseWriter, name document.SectionName, err error) {
	failure := Failure{
		Code:    "Internal",
		Message: err.Error(),
	}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, document.ErrForbidden):
		status, failure.Code = http.StatusForbidden, "Forbidden"
	case errors.Is(err, document.ErrStale):
		status, failure.Code = http.StatusPreconditionFailed, "Stale"
		current := c.section(name)
		failure.Current = &current
	case errors.Is(err, document.ErrInvalid), errors.Is(err, errIfMatch), errors.Is(err, errChangeID):
		status, failure.Code = http.StatusUnprocessableEntity, "Invalid"
	case errors.Is(err, document.ErrUnknown):
		status, failure.Code = http.StatusGatewayTimeout, "OutcomeUnknown"
	case errors.Is(err, document.ErrUnavailable):
		status, failure.Code = http.StatusServiceUnavailable, "Unavailable"
	}
	c.log.Info("change refused", "section", name, "code", failure.Code, "err", err)
	writeJSON(w, status, failure)
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
