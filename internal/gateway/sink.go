package gateway

import (
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/endpoint"
)

// sink writes an answer to the caller.
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

// patient bounds the next write; a caller that takes nothing holds an endpoint up.
func (s *sink) patient() {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.timeout))
}

// done lifts the bound for the connection's next request.
func (s *sink) done(err error) error {
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
	s.patient()
	header = s.w.Header()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return s.done(err)
}

// Begin writes the head of a streamed answer.
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
	s.patient()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// End writes the end marker.
func (s *sink) End() error {
	s.patient()
	_, err := s.w.Write(streamEnd)
	return s.done(err)
}

// copyHeader copies what of an endpoint's header is for the caller.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", http.CanonicalHeaderKey(endpoint.HeaderRequestID):
		default:
			to[name] = values
		}
	}
}
