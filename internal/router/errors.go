package router

import "errors"

var (
	// errSink means that the answer could not be written to the sink, in most cases because the caller has gone. A
	// retry would not help.
	errSink = errors.New("router: caller gone")
	// errCrossed means an answer belongs to another request.
	errCrossed = errors.New("router: answer of another request")
	// errStalled means that a model engine, as the endpoint, sent nothing for longer than StallTimeouts allows.
	errStalled = errors.New("router: endpoint stalled")
	// errDeadline means the request's deadline has passed.
	errDeadline = errors.New("router: deadline passed")
	// errRequestNotRun means that the endpoint refused the request without running it.
	errRequestNotRun = errors.New("router: endpoint did not run the request")
)
