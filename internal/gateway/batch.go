package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// dueMetadataKey is the metadata key under which a caller can set a batch's due time, in RFC 3339.
	dueMetadataKey = "due_at"
	// servicesPrefix is the path prefix of plain services.
	servicesPrefix = "/services/"
)

type createBatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

type batchBody struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           any               `json:"errors"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    batchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// serveCreateBatch accepts a job; it answers only after the job is committed.
func (g *Gateway) serveCreateBatch(c *caller) error {
	data, err := c.body()
	if err != nil {
		return err
	}
	var body createBatchBody
	if err := json.Unmarshal(data, &body); err != nil {
		return request.Invalid("invalid_body", err.Error())
	}
	hash := document.HashOf(string(data))
	earlier, found, err := g.findByKey(c)
	if err != nil {
		return err
	}
	if found && earlier.RequestHash == hash {
		return g.writeBatch(c, earlier)
	}
	created, err := g.newJob(c, body)
	if found && isRejected(err) {
		return job.ErrKeyReused
	}
	if err != nil {
		return err
	}
	created.RequestHash = hash
	stored, err := g.jobs.Create(c.r.Context(), created)
	if err != nil {
		return err
	}
	g.log.Info("batch accepted", "request", c.id, "organisation", c.organisation, "job", stored.ID, "items", stored.Items, "due", stored.Due)
	return g.writeBatch(c, stored)
}

// findByKey returns the job that was created earlier with the request's idempotency key, and whether there is one. It
// is called before the request is validated: an accepted job stays accepted when its file is deleted, its due time
// passes or the policy changes. Whether a request with a different body is equivalent is decided when the job is
// created.
func (g *Gateway) findByKey(c *caller) (job.Job, bool, error) {
	key := c.r.Header.Get(headerIdempotencyKey)
	if key == "" {
		return job.Job{}, false, nil
	}
	found, err := g.jobs.Job(c.r.Context(), c.organisation, job.IDFor(c.organisation, key))
	if errors.Is(err, job.ErrNotFound) {
		return job.Job{}, false, nil
	}
	return found, err == nil, err
}

// isRejected reports whether the error is due to the request itself rather than to the state of the platform.
func isRejected(err error) bool {
	var refusal *request.Refusal
	return errors.As(err, &refusal) || errors.Is(err, job.ErrNotFound)
}

// newJob validates a submission and returns the job that it describes.
func (g *Gateway) newJob(c *caller, body createBatchBody) (job.Job, error) {
	file, err := g.jobs.File(c.r.Context(), c.organisation, job.FileID(body.InputFileID))
	if err != nil {
		return job.Job{}, err
	}
	if file.Path != body.Endpoint {
		return job.Job{}, request.Invalid("endpoint_mismatch", "the items name "+file.Path)
	}
	if err := checkPath(file.Path); err != nil {
		return job.Job{}, err
	}
	service, err := g.batchService(c, body.Endpoint, file)
	if err != nil {
		return job.Job{}, err
	}
	window, err := parseWindow(body.CompletionWindow, c.view.Policy)
	if err != nil {
		return job.Job{}, err
	}
	key := c.r.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = string(c.id)
	}
	now := time.Now().UTC()
	created := job.Job{
		ID:           job.IDFor(c.organisation, key),
		Organisation: c.organisation,
		Service:      service,
		File:         file.ID,
		Path:         file.Path,
		Once:         !idempotent(c.view.Services[service], http.MethodPost, servicePath(file.Path)),
		State:        job.StateRunning,
		Items:        file.Items,
		Lots:         file.Lots,
		Window:       body.CompletionWindow,
		Metadata:     body.Metadata,
		Created:      now,
		Due:          now.Add(window),
	}
	created.BodyHash, err = submissionHash(body, file)
	if err != nil {
		return job.Job{}, err
	}
	created.Due, err = parseDue(body.Metadata, created.Due, now, longestWindow(c.view.Policy))
	return created, err
}

// submissionHash returns the hash of a submission. It uses the hash of the file's content rather than the file's id,
// because a caller that retries may have uploaded the same items again.
func submissionHash(body createBatchBody, file job.File) (document.Hash, error) {
	if file.Hash != "" {
		body.InputFileID = string(file.Hash)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	return document.HashOf(string(data)), nil
}

// parseDue returns the due time given in the metadata, or the fallback if there is none. A due time in the past is
// rejected because it can't be met; for later ones, the risk of missing them is reported while the job runs.
func parseDue(metadata map[string]string, fallback, now time.Time, longest time.Duration) (time.Time, error) {
	value, ok := metadata[dueMetadataKey]
	if !ok {
		return fallback, nil
	}
	requested, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return fallback, request.Invalid("invalid_due", dueMetadataKey+" must be a time in RFC 3339")
	}
	if !requested.After(now) {
		return fallback, request.Invalid("due_unreachable", "the due time has passed")
	}
	if requested.Sub(now) > longest {
		return fallback, request.Invalid("invalid_due", "the due time must come within "+longest.String())
	}
	return requested, nil
}

const (
	// riskMetadataKey is the metadata key under which a running batch reports whether its due time is at risk.
	riskMetadataKey = "due_risk"
	// minRiskRuntime is how long a job must have run before its rate is used for an estimate.
	minRiskRuntime = 10 * time.Second
)

// dueRisk estimates from the job's rate so far whether it ends by its due time: OnTime, AtRisk or Late.
func dueRisk(j job.Job, counts job.Counts, now time.Time) string {
	done := counts.Completed + counts.Failed
	elapsed := now.Sub(j.Created)
	switch {
	case now.After(j.Due):
		return "Late"
	case elapsed < minRiskRuntime:
		return "OnTime"
	case done == 0 && elapsed > j.Due.Sub(now):
		return "AtRisk"
	case done > 0 && time.Duration(float64(elapsed)/float64(done)*float64(j.Items-done)) > j.Due.Sub(now):
		return "AtRisk"
	}
	return "OnTime"
}

// metadataOf returns the caller's metadata; for a running job it adds the due-time risk.
func metadataOf(j job.Job, counts job.Counts) map[string]string {
	if j.State != job.StateRunning {
		return j.Metadata
	}
	metadata := maps.Clone(j.Metadata)
	if metadata == nil {
		metadata = map[string]string{}
	}
	metadata[riskMetadataKey] = dueRisk(j, counts, time.Now())
	return metadata
}

// batchService returns the service that processes a job's items.
func (g *Gateway) batchService(c *caller, itemPath string, file job.File) (document.ServiceName, error) {
	if rest, plain := strings.CutPrefix(itemPath, servicesPrefix); plain {
		name, _, _ := strings.Cut(rest, "/")
		if _, ok := c.view.Services[document.ServiceName(name)]; !ok {
			return "", request.Invalid("service_not_found", "there is no service "+name)
		}
		return document.ServiceName(name), nil
	}
	service, ok := c.view.ServiceOf(file.Model)
	if !ok {
		return "", errUnknownModel
	}
	return service, nil
}

// checkPath rejects a path that an endpoint may interpret differently from this process: it could name another host,
// or be an alternative spelling of a non-idempotent path.
func checkPath(itemPath string) error {
	parsed, err := url.ParseRequestURI(itemPath)
	if err != nil || parsed.Host != "" || parsed.EscapedPath() != parsed.Path || path.Clean(parsed.Path) != parsed.Path {
		return request.Invalid("invalid_path", "the items' path is not in its shortest form")
	}
	return nil
}

// servicePath returns the path without the prefix that names a plain service.
func servicePath(itemPath string) string {
	rest, plain := strings.CutPrefix(itemPath, servicesPrefix)
	if !plain {
		return itemPath
	}
	_, target, _ := strings.Cut(rest, "/")
	return "/" + target
}

func longestWindow(policy document.Policy) time.Duration {
	return time.Duration(policy.MaximumWindowHours) * time.Hour
}

func parseWindow(window string, policy document.Policy) (time.Duration, error) {
	if window == "" {
		window = "24h"
	}
	parsed, err := time.ParseDuration(window)
	longest := longestWindow(policy)
	if err != nil || parsed <= 0 || parsed > longest {
		return 0, request.Invalid("invalid_window", fmt.Sprintf("completion_window must be a time such as 24h, at most %s", longest))
	}
	return parsed, nil
}

func (g *Gateway) writeBatch(c *caller, j job.Job) error {
	body, err := g.batchBodyOf(c, j)
	if err != nil {
		return err
	}
	writeJSON(c.w, http.StatusOK, body)
	return nil
}

func (g *Gateway) batchBodyOf(c *caller, j job.Job) (batchBody, error) {
	counts := j.Counts
	if !j.State.Ended() {
		lots, err := g.jobs.Lots(c.r.Context(), j.ID)
		if err != nil {
			return batchBody{}, err
		}
		counts = job.TallyOf(lots).Counts
	}
	body := batchBody{
		ID:               string(j.ID),
		Object:           "batch",
		Endpoint:         j.Path,
		InputFileID:      string(j.File),
		CompletionWindow: j.Window,
		Status:           status(j.State),
		OutputFileID:     outputPrefix + string(j.ID),
		CreatedAt:        j.Created.Unix(),
		InProgressAt:     j.Created.Unix(),
		ExpiresAt:        j.Due.Unix(),
		RequestCounts: batchCounts{
			Total:     j.Items,
			Completed: counts.Completed,
			Failed:    counts.Failed,
		},
		Metadata: metadataOf(j, counts),
	}
	if counts.Failed > 0 {
		body.ErrorFileID = errorPrefix + string(j.ID)
	}
	if !j.Cancelled.IsZero() {
		body.CancellingAt = j.Cancelled.Unix()
	}
	if j.State == job.StateCompleted {
		body.CompletedAt = j.Ended.Unix()
	}
	if j.State == job.StateCancelled {
		body.CancelledAt = j.Ended.Unix()
	}
	return body, nil
}

// status returns the API's name for a job's state.
func status(state job.State) string {
	if state == job.StateRunning {
		return "in_progress"
	}
	return strings.ToLower(string(state))
}

func (g *Gateway) serveBatch(c *caller) error {
	found, err := g.jobs.Job(c.r.Context(), c.organisation, job.ID(c.r.PathValue("batch")))
	if err != nil {
		return err
	}
	return g.writeBatch(c, found)
}

const (
	defaultBatchPageSize = 20
	maxBatchPageSize     = 100
)

func (g *Gateway) serveBatches(c *caller) error {
	query := c.r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultBatchPageSize
	}
	limit = min(limit, maxBatchPageSize)
	found, err := g.jobs.JobsOf(c.r.Context(), c.organisation, job.ID(query.Get("after")), limit+1)
	if err != nil {
		return err
	}
	more := len(found) > limit
	bodies := make([]batchBody, 0, limit)
	for _, entry := range found[:min(limit, len(found))] {
		body, err := g.batchBodyOf(c, entry)
		if err != nil {
			return err
		}
		bodies = append(bodies, body)
	}
	writeJSON(c.w, http.StatusOK, listBody{
		Object:  "list",
		Data:    bodies,
		HasMore: more,
	})
	return nil
}

func (g *Gateway) serveCancelBatch(c *caller) error {
	cancelled, err := g.jobs.Cancel(c.r.Context(), c.organisation, job.ID(c.r.PathValue("batch")))
	if err != nil {
		return err
	}
	if !cancelled.State.Ended() {
		g.canceller.Cancel(cancelled.ID)
	}
	g.log.Info("batch cancellation requested", "request", c.id, "organisation", c.organisation, "job", cancelled.ID, "state", cancelled.State)
	return g.writeBatch(c, cancelled)
}
