package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/call"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/request"
)

// headerOutcome tells a refused caller whether its request ran.
const headerOutcome = "Rhubarbrudder-Outcome"

var (
	errNotFresh       = errors.New("gateway: document not confirmed")
	errBodyTooLarge   = request.Reject(http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
	errUnknownModel   = request.Reject(http.StatusNotFound, "model_not_found", "no service serves the model")
	errUnknownService = request.Reject(http.StatusNotFound, "service_not_found", "there is no such service")
	errStreamedCall   = errors.New("gateway: a call's answer was streamed")
	errBegun          = errors.New("gateway: answer broke off after it had begun")
)

// errorBody is an error in the published shape.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// refuse answers with the error; an answer that has begun is cut off so that it can't look whole.
func (g *Gateway) refuse(c *caller, err error) {
	if errors.Is(err, errBegun) {
		g.log.Warn("answer broken off", "request", c.id, "organisation", c.organisation, "err", err)
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, context.Canceled) && c.r.Context().Err() != nil {
		g.log.Info("caller gone", "request", c.id, "organisation", c.organisation)
		return
	}
	refusal := refusalOf(err, c.ticket)
	g.log.Info("request refused", "request", c.id, "organisation", c.organisation, "code", refusal.Code, "outcome", refusal.Outcome(), "err", err)
	header := c.w.Header()
	header.Set(headerOutcome, refusal.Outcome())
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	writeJSON(c.w, refusal.Status, errorBody{
		Error: errorDetail{
			Message: refusal.Message + " (" + refusal.Outcome() + ")",
			Type:    errorType(refusal.Status),
			Code:    refusal.Code,
		},
	})
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// retrySoon is how long a caller is asked to wait after a refusal for lack of room.
const retrySoon = time.Second

// refusalOf turns an error of a layer below into what the caller is told. Errors of the job store
// come from before any item could run.
func refusalOf(err error, ticket *request.Ticket) *request.Refusal {
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		return ticket.Vouch(refusal)
	}
	switch {
	case errors.Is(err, errNotFresh):
		return ticket.Refuse(http.StatusServiceUnavailable, "cut_off", "this VM is cut off from the others and takes no new work", retrySoon)
	case errors.Is(err, organisation.ErrNoKey), errors.Is(err, organisation.ErrWrongKey):
		return ticket.Refuse(http.StatusUnauthorized, "invalid_api_key", "the key is missing or wrong", 0)
	case errors.Is(err, organisation.ErrOverLimit):
		return ticket.Refuse(http.StatusTooManyRequests, "rate_limit_exceeded", "the organisation is over its limit", retrySoon)
	case errors.Is(err, request.ErrNotJSON), errors.Is(err, request.ErrNoModel), errors.Is(err, request.ErrNoMessages), errors.Is(err, request.ErrNoPrompt):
		return ticket.Vouch(request.Invalid("invalid_body", err.Error()))
	case errors.Is(err, job.ErrInput):
		return ticket.Vouch(request.Invalid("invalid_file", err.Error()))
	case errors.Is(err, job.ErrNotFound):
		return ticket.Refuse(http.StatusNotFound, "not_found", "there is no such file or batch", 0)
	case errors.Is(err, job.ErrKeyReused):
		return ticket.Refuse(http.StatusConflict, "idempotency_key_reused", "the key was used with another request", 0)
	case errors.Is(err, call.ErrKeyReused):
		return ticket.Refuse(http.StatusUnprocessableEntity, "idempotency_key_reused", "the key was used with another request", 0)
	case errors.Is(err, call.ErrInProgress):
		return request.Unknown(http.StatusConflict, "call_in_progress", "an earlier request with the key is running", retrySoon)
	case errors.Is(err, call.ErrOutcomeUnknown):
		return request.Unknown(http.StatusConflict, "outcome_unknown", "an earlier request with the key may have run; its answer is lost, and it is not run again", 0)
	case errors.Is(err, call.ErrUnavailable):
		return ticket.Refuse(http.StatusServiceUnavailable, "store_unavailable", "this request can't be recorded now; whether an earlier one with the key ran can't be told", retrySoon)
	case errors.Is(err, job.ErrUnknown):
		return request.Unknown(http.StatusServiceUnavailable, "outcome_unknown", "it is not known whether the request was accepted; send it again with the same Idempotency-Key", retrySoon)
	case errors.Is(err, job.ErrUnavailable):
		return ticket.Refuse(http.StatusServiceUnavailable, "store_unavailable", "the request can't be accepted now", retrySoon)
	}
	return request.Unknown(http.StatusInternalServerError, "internal_error", "the request failed", 0)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
