package gateway

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/endpoint"
)

// sink is a router.Sink that writes an answer to the caller.
type sink struct {
	w       http.ResponseWriter
	timeout time.Duration
	begun   bool
}

func newSink(c *caller) *sink {
	return &sink{
		w:       c.w,
		timeout: c.timeouts.Write,
	}
}

// setWriteDeadline bounds the next write, because a caller that does not read its answer keeps an endpoint occupied.
func (s *sink) setWriteDeadline() {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.timeout))
}

// finishWrite flushes the answer, unless writing it failed with err, and clears the write deadline for the connection's
// next request. It returns the first error.
func (s *sink) finishWrite(err error) error {
	if err == nil {
		err = http.NewResponseController(s.w).Flush()
	}
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
	return err
}

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	streamEnd  = []byte("data: [DONE]\n\n")
)

// Whole writes an answer that is not streamed.
func (s *sink) Whole(status int, header http.Header, body []byte) error {
	s.begun = true
	copyHeader(s.w.Header(), header)
	s.setWriteDeadline()
	header = s.w.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return s.finishWrite(err)
}

// Begin writes the header of a streamed answer.
func (s *sink) Begin(http.Header) error {
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	return nil
}

// Event writes one event.
func (s *sink) Event(data []byte) error {
	event := make([]byte, 0, len(eventStart)+len(data)+len(eventEnd))
	event = append(event, eventStart...)
	event = append(event, data...)
	event = append(event, eventEnd...)
	s.setWriteDeadline()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// End writes the end marker.
func (s *sink) End() error {
	s.setWriteDeadline()
	_, err := s.w.Write(streamEnd)
	return s.finishWrite(err)
}

// copyHeader copies an endpoint's response header without the fields that concern only its connection or that this
// process sets itself.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", http.CanonicalHeaderKey(endpoint.HeaderRequestID):
		default:
			to[name] = values
		}
	}
}
