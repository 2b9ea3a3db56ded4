package router

import "errors"

var (
	// errSink means the caller's side failed; trying again would not help.
	errSink = errors.New("router: caller gone")
	// errCrossed means an answer was not of this request.
	errCrossed = errors.New("router: answer of another request")
	// errStalled means an engine sent nothing for too long.
	errStalled = errors.New("router: endpoint stalled")
	// errDeadline means the request's deadline passed.
	errDeadline = errors.New("router: deadline passed")
	// errEndpointNotRun means the endpoint said that it took nothing on.
	errEndpointNotRun = errors.New("router: endpoint did not run the request")
)
