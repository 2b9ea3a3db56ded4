// Package gateway serves callers: completions, plain services, files and batch jobs.
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

// Document is the view in force.
type Document interface {
	// Fresh returns the view and whether new work may be taken by it.
	Fresh() (*document.View, bool)
}

// Members lists the processes alive.
type Members interface {
	Alive(role fleet.Role) []fleet.Member
}

// Router passes a request's answer to a sink.
type Router interface {
	Do(ctx context.Context, req request.Request, ticket *request.Ticket, sink router.Sink) error
}

// Jobs keeps files and jobs.
type Jobs interface {
	Objects() job.Objects
	PutFile(ctx context.Context, file job.File) error
	File(ctx context.Context, id document.OrganisationID, file job.FileID) (job.File, error)
	FilesOf(ctx context.Context, id document.OrganisationID, after job.FileID, limit int) ([]job.File, error)
	DeleteFile(ctx context.Context, id document.OrganisationID, file job.FileID) error
	Create(ctx context.Context, made job.Job) (job.Job, error)
	Job(ctx context.Context, id document.OrganisationID, wanted job.ID) (job.Job, error)
	JobsOf(ctx context.Context, id document.OrganisationID, after job.ID, limit int) ([]job.Job, error)
	Cancel(ctx context.Context, id document.OrganisationID, wanted job.ID) (job.Job, error)
	Lots(ctx context.Context, id job.ID) ([]job.LotRow, error)
}

// Canceller tells the dispatchers that a job was cancelled.
type Canceller interface {
	Cancel(id job.ID)
}

// Limiter holds organisations to their limits.
type Limiter interface {
	Enter(ctx context.Context, id document.OrganisationID, limit document.Organisation) (func(), error)
}

// Queue lets requests wait for slots.
type Queue interface {
	Enter(ctx context.Context, place queue.SlotRequest) (func(), error)
}

// Timeouts bound how long a slow caller holds a request up.
type Timeouts struct {
	// Body is for sending the whole body.
	Body time.Duration
	// Write is for taking one part of the answer.
	Write time.Duration
}

// Gateway serves callers.
type Gateway struct {
	document Document
	members  Members
	router   Router
	jobs     Jobs
	cancel   Canceller
	calls    Calls
	queue    Queue
	limiter  Limiter
	timeouts Timeouts
	notes    *explain.Recorder
	log      *slog.Logger
}

// Parts is what a gateway depends on.
type Parts struct {
	Document Document
	Members  Members
	Router   Router
	Jobs     Jobs
	Cancel   Canceller
	Calls    Calls
	Queue    Queue
	Limiter  Limiter
	Timeouts Timeouts
	// Notes may be nil.
	Notes *explain.Recorder
	Log   *slog.Logger
}

// New returns a gateway.
func New(parts Parts) *Gateway {
	return &Gateway{
		document: parts.Document,
		members:  parts.Members,
		router:   parts.Router,
		jobs:     parts.Jobs,
		cancel:   parts.Cancel,
		calls:    parts.Calls,
		queue:    parts.Queue,
		limiter:  parts.Limiter,
		timeouts: parts.Timeouts,
		notes:    parts.Notes,
		log:      parts.Log,
	}
}

// Handler returns the callers' HTTP handler.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.as(g.serveCompletion))
	mux.HandleFunc("POST /v1/completions", g.as(g.serveCompletion))
	mux.HandleFunc("GET /v1/models", g.as(g.serveModels))
	mux.HandleFunc("POST /v1/files", g.as(g.serveUpload))
	mux.HandleFunc("GET /v1/files", g.as(g.serveFiles))
	mux.HandleFunc("DELETE /v1/files/{file}", g.as(g.serveDeleteFile))
	mux.HandleFunc("GET /v1/files/{file}", g.as(g.serveFile))
	mux.HandleFunc("GET /v1/files/{file}/content", g.as(g.serveContent))
	mux.HandleFunc("POST /v1/batches", g.as(g.serveCreateBatch))
	mux.HandleFunc("GET /v1/batches", g.as(g.serveBatches))
	mux.HandleFunc("GET /v1/batches/{batch}", g.as(g.serveBatch))
	mux.HandleFunc("POST /v1/batches/{batch}/cancel", g.as(g.serveCancelBatch))
	mux.HandleFunc("/services/{service}/{path...}", g.as(g.servePlain))
	mux.HandleFunc("/", g.as(g.serveNothing))
	return mux
}

// caller is an authenticated caller's request on its way.
type caller struct {
	w            http.ResponseWriter
	r            *http.Request
	id           request.ID
	ticket       *request.Ticket
	organisation document.OrganisationID
	view         *document.View
	timeouts     Timeouts
}

// as authenticates the caller and logs how the request ended.
func (g *Gateway) as(serve func(c *caller) error) http.HandlerFunc {
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
			g.refuse(c, errNotFresh)
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

// maxBodyBytes bounds a request's body; files have a bound of their own.
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
