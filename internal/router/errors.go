package router

import "errors"

var (
	// errSink means the caller's side failed, so that a retry would not help.
	errSink = errors.New("router: caller gone")
	// errCrossed means an answer belongs to another request.
	errCrossed = errors.New("router: answer of another request")
	// errStalled means an engine sent nothing for too long.
	errStalled = errors.New("router: endpoint stalled")
	// errDeadline means the request's deadline has passed.
	errDeadline = errors.New("router: deadline passed")
	// errEndpointNotRun means the endpoint reported that it did not run the request.
	errEndpointNotRun = errors.New("router: endpoint did not run the request")
)
