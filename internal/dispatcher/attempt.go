package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/request"
)

// errAttempt means that an attempt of an item failed and another attempt may succeed.
var errAttempt = errors.New("dispatcher: attempt failed")

// attempt sends an item to an endpoint and returns its result. A partial answer is saved in the progress.
func (r *run) attempt(ctx context.Context, target endpoint.Endpoint, index int) (job.Result, error) {
	item := r.items[index]
	req := request.Request{
		ID:           r.requestID(index),
		Organisation: r.active.Organisation,
		Service:      r.active.Service,
		Class:        request.ClassBatch,
		Method:       http.MethodPost,
		Path:         endpointPath(item.URL),
		Header: http.Header{
			"Content-Type": {"application/json"},
		},
		Body:       item.Body,
		Idempotent: !r.active.Once,
	}
	var err error
	if r.isEngineService() {
		req.Shape, err = request.ParseShape(item.URL, item.Body)
		if err != nil {
			return failedResult(req, item, "invalid_request", err.Error()), nil
		}
	}
	progress := request.Resume(r.partial(index))
	body, err := req.EndpointBody(progress)
	if err != nil {
		return failedResult(req, item, "invalid_request", err.Error()), nil
	}
	answer, err := r.dispatcher.sender.Send(ctx, target, req, body)
	if err != nil {
		return job.Result{}, err
	}
	defer answer.Close()
	if answer.Streamed {
		return r.streamedResult(answer, req, progress, index)
	}
	if r.active.Once {
		return finalResult(answer, req, item)
	}
	return bufferedResult(answer, req, item)
}

func (r *run) isEngineService() bool {
	return r.dispatcher.document.View().Services[r.active.Service].Model != ""
}

func (r *run) partial(index int) request.Saved {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.Partial[index]
}

func (r *run) streamedResult(answer *endpoint.Answer, req request.Request, progress *request.Progress, index int) (job.Result, error) {
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			r.savePartial(index, progress)
			return job.Result{}, err
		}
		chunk, err := request.ParseChunk(data)
		if err != nil {
			r.savePartial(index, progress)
			return job.Result{}, err
		}
		if !chunk.Belongs(req.ID) {
			return job.Result{}, fmt.Errorf("%w: answer of another request", errAttempt)
		}
		progress.Add(chunk)
	}
	if progress.Finish == "" {
		return job.Result{}, endpoint.ErrBroken
	}
	body, err := progress.WholeBody(req)
	if err != nil {
		return job.Result{}, err
	}
	return answeredResult(req, r.items[index], http.StatusOK, body), nil
}

// savePartial saves the output of a broken or cancelled answer, so that the next attempt resumes there.
func (r *run) savePartial(index int, progress *request.Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.Partial[index] = progress.Save()
	r.changed = true
}

// bufferedResult returns the result of an answer that is not streamed. A retryable status is an error.
func bufferedResult(answer *endpoint.Answer, req request.Request, item job.Item) (job.Result, error) {
	body, err := answer.ReadBody()
	if err != nil {
		return job.Result{}, err
	}
	if id := answer.Header.Get(endpoint.HeaderRequestID); id != "" && id != string(req.ID) {
		return job.Result{}, fmt.Errorf("%w: answer of another request", errAttempt)
	}
	if isRetryable(answer.Status) {
		return job.Result{}, &statusError{
			status: answer.Status,
		}
	}
	return statusResult(req, item, answer.Status, body), nil
}

// finalResult returns the result of an item that must not be repeated, whatever the answer's status.
func finalResult(answer *endpoint.Answer, req request.Request, item job.Item) (job.Result, error) {
	body, err := answer.ReadBody()
	if err != nil {
		return job.Result{}, err
	}
	if id := answer.Header.Get(endpoint.HeaderRequestID); id != "" && id != string(req.ID) {
		return job.Result{}, fmt.Errorf("%w: answer of another request", errAttempt)
	}
	return statusResult(req, item, answer.Status, body), nil
}

// statusResult returns the result for an answer that is not retried. An error status makes the item fail.
func statusResult(req request.Request, item job.Item, status int, body []byte) job.Result {
	result := answeredResult(req, item, status, body)
	if status < http.StatusBadRequest {
		return result
	}
	result.Error = &job.ResultError{
		Code:    "item_refused",
		Message: fmt.Sprintf("the endpoint refused the item with status %d", status),
	}
	return result
}

func isRetryable(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

func answeredResult(req request.Request, item job.Item, status int, body []byte) job.Result {
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	return job.Result{
		ID:       req.ID,
		CustomID: item.CustomID,
		Response: &job.ResultResponse{
			StatusCode: status,
			RequestID:  req.ID,
			Body:       body,
		},
	}
}

func failedResult(req request.Request, item job.Item, code, message string) job.Result {
	return job.Result{
		ID:       req.ID,
		CustomID: item.CustomID,
		Error: &job.ResultError{
			Code:    code,
			Message: message,
		},
	}
}

// endpointPath returns the path at the endpoint. For a plain service that is the URL without "/services/" and the name.
func endpointPath(url string) string {
	rest, plain := strings.CutPrefix(url, "/services/")
	if !plain {
		return url
	}
	_, path, _ := strings.Cut(rest, "/")
	return "/" + path
}
