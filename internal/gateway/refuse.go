package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"rhubarbrudder/internal/explain"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/telemetry"
)

// headerOutcome is the response header that states whether a refused request ran.
const headerOutcome = telemetry.HeaderOutcome

var (
	errDocumentStale     = errors.New("gateway: document not confirmed")
	errBodyTooLarge      = request.Reject(http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
	errBodyLate          = request.Reject(http.StatusRequestTimeout, "request_timeout", "the body did not arrive in time")
	errUnknownModel      = request.Reject(http.StatusNotFound, "model_not_found", "no service serves the model")
	errUnknownService    = request.Reject(http.StatusNotFound, "service_not_found", "there is no such service")
	errStreamedCall      = errors.New("gateway: a call's answer was streamed")
	errAnswerInterrupted = errors.New("gateway: answer broke off after it had begun")
)

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// refuse answers with the error. If the answer has already begun, it aborts the connection so that the caller can't
// take the truncated answer for a complete one.
func (g *Gateway) refuse(c *caller, err error) {
	if errors.Is(err, errAnswerInterrupted) {
		g.log.Warn("answer aborted after it had begun", "request", c.id, "organisation", c.organisation, "err", err)
		g.note(c, "answer broken off after it had begun")
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, context.Canceled) && c.r.Context().Err() != nil {
		g.log.Info("caller disconnected", "request", c.id, "organisation", c.organisation)
		g.note(c, "given up: the caller left")
		return
	}
	refusal := refusalFor(err, c.ticket)
	g.log.Info("request refused", "request", c.id, "organisation", c.organisation, "code", refusal.Code, "outcome", refusal.Outcome(), "err", err)
	g.note(c, "refused: "+refusal.Message, explain.Fact{
		Name:  "code",
		Value: refusal.Code,
	}, explain.Fact{
		Name:  "outcome",
		Value: refusal.Outcome(),
	})
	header := c.w.Header()
	header.Set(headerOutcome, refusal.Outcome())
	header.Set(telemetry.HeaderCode, refusal.Code)
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

// note records a decision about a caller's request for operators.
func (g *Gateway) note(c *caller, decision string, evidence ...explain.Fact) {
	evidence = append(evidence, explain.Fact{
		Name:  "organisation",
		Value: string(c.organisation),
	})
	g.notes.Note(explain.Subject(c.id), decision, evidence...)
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

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
