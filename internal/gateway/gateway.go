// Package gateway serves the callers' HTTP API: completions, plain services, files and batch jobs.
//
// A plain service is one whose endpoints are not model engines; requests to it are forwarded without parsing their
// bodies. The items of a batch job are processed in lots, which are groups of consecutive items. The document holds the
// configuration; the view in force is the revision of it that this process applies.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/queue"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

// Document provides the view in force.
type Document interface {
	// Fresh returns the view and reports whether it is recent enough to accept new work.
	Fresh() (*document.View, bool)
}

// Members lists the processes that are alive.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
}

// Router passes a request's answer to a sink.
type Router interface {
	Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink router.Sink) error
}

// Jobs stores files and jobs.
type Jobs interface {
	Objects() job.Objects
	PutFile(ctx context.Context, file job.File) error
	File(ctx context.Context, organisation document.OrganisationID, id job.FileID) (job.File, error)
	FilesOf(ctx context.Context, organisation document.OrganisationID, after job.FileID, limit int) ([]job.File, error)
	DeleteFile(ctx context.Context, organisation document.OrganisationID, id job.FileID) error
	Create(ctx context.Context, j job.Job) (job.Job, error)
	Job(ctx context.Context, organisation document.OrganisationID, id job.ID) (job.Job, error)
	JobsOf(ctx context.Context, organisation document.OrganisationID, after job.ID, limit int) ([]job.Job, error)
	Cancel(ctx context.Context, organisation document.OrganisationID, id job.ID) (job.Job, error)
	Lots(ctx context.Context, id job.ID) ([]job.LotRow, error)
}

// Canceller notifies the dispatchers that a job was cancelled.
type Canceller interface {
	Cancel(id job.ID)
}

// Limiter enforces the organisations' limits.
type Limiter interface {
	// Enter admits a request if the limits in the organisation's settings allow it. The returned function must be
	// called when the request has ended.
	Enter(ctx context.Context, id document.OrganisationID, settings document.Organisation) (func(), error)
}

// Queue makes requests wait for a free slot at an endpoint.
type Queue interface {
	// Enter waits until the request has a slot. The returned function releases the slot.
	Enter(ctx context.Context, slotRequest queue.SlotRequest) (func(), error)
}

// Timeouts limit how long a slow caller can hold up its request.
type Timeouts struct {
	// Body bounds the time to receive the whole body.
	Body time.Duration
	// Write bounds the time to write one part of the answer.
	Write time.Duration
}

// Gateway serves callers.
type Gateway struct {
	document  Document
	members   Members
	router    Router
	jobs      Jobs
	canceller Canceller
	calls     Calls
	queue     Queue
	limiter   Limiter
	timeouts  Timeouts
	notes     *explain.Recorder
	log       *slog.Logger
}

// Parts holds the dependencies of a gateway.
type Parts struct {
	Document  Document
	Members   Members
	Router    Router
	Jobs      Jobs
	Canceller Canceller
	Calls     Calls
	Queue     Queue
	Limiter   Limiter
	Timeouts  Timeouts
	// Notes may be nil.
	Notes *explain.Recorder
	Log   *slog.Logger
}

// New returns a gateway.
func New(parts Parts) *Gateway {
	return &Gateway{
		document:  parts.Document,
		members:   parts.Members,
		router:    parts.Router,
		jobs:      parts.Jobs,
		canceller: parts.Canceller,
		calls:     parts.Calls,
		queue:     parts.Queue,
		limiter:   parts.Limiter,
		timeouts:  parts.Timeouts,
		notes:     parts.Notes,
		log:       parts.Log,
	}
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.authenticated(g.serveCompletion))
	mux.HandleFunc("POST /v1/completions", g.authenticated(g.serveCompletion))
	mux.HandleFunc("GET /v1/models", g.authenticated(g.serveModels))
	mux.HandleFunc("POST /v1/files", g.authenticated(g.serveUpload))
	mux.HandleFunc("GET /v1/files", g.authenticated(g.serveFiles))
	mux.HandleFunc("DELETE /v1/files/{file}", g.authenticated(g.serveDeleteFile))
	mux.HandleFunc("GET /v1/files/{file}", g.authenticated(g.serveFile))
	mux.HandleFunc("GET /v1/files/{file}/content", g.authenticated(g.serveContent))
	mux.HandleFunc("POST /v1/batches", g.authenticated(g.serveCreateBatch))
	mux.HandleFunc("GET /v1/batches", g.authenticated(g.serveBatches))
	mux.HandleFunc("GET /v1/batches/{batch}", g.authenticated(g.serveBatch))
	mux.HandleFunc("POST /v1/batches/{batch}/cancel", g.authenticated(g.serveCancelBatch))
	mux.HandleFunc("/services/{service}/{path...}", g.authenticated(g.servePlain))
	mux.HandleFunc("/", g.authenticated(g.serveUnknownPath))
	return mux
}

// caller holds a caller's request and its response writer, the caller's organisation, and the view under which the
// request is served.
type caller struct {
	w            http.ResponseWriter
	r            *http.Request
	id           request.ID
	ticket       *request.Ticket
	organisation document.OrganisationID
	view         *document.View
	timeouts     Timeouts
}

// authenticated returns a handler that authenticates the caller and then calls serve. An error of the authentication or
// of serve is logged and sent to the caller, and so is the refusal if the view is not fresh.
func (g *Gateway) authenticated(serve func(c *caller) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		view, fresh := g.document.Fresh()
		c := &caller{
			w:        w,
			r:        r,
			id:       request.NewID(),
			ticket:   &request.Ticket{},
			view:     view,
			timeouts: g.timeouts,
		}
		w.Header().Set(endpoint.HeaderRequestID, string(c.id))
		if !fresh {
			g.refuse(c, errDocumentStale)
			return
		}
		var err error
		c.organisation, err = organisation.Authenticate(c.view, r)
		if err == nil {
			err = serve(c)
		}
		if err != nil {
			g.refuse(c, err)
		}
	}
}

// maxBodyBytes bounds the size of a request's body; file uploads are bounded by maxFileBytes.
const maxBodyBytes = 16 << 20

func (c *caller) body() ([]byte, error) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(c.timeouts.Body))
	data, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errBodyTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errBodyLate
	}
	_ = control.SetReadDeadline(time.Time{})
	return data, err
}
