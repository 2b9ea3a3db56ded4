package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEvent means that a stream contains data that is not a valid event, or an event that is too long.
var ErrEvent = errors.New("forward: invalid or oversized event")

// maxEventBytes is the maximum size of an event; events of generated text have a few hundred bytes.
const maxEventBytes = 1 << 20

// Event is one server-sent event of a stream.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the number in the event's id field; HasID reports whether it has one.
	ID    int64
	HasID bool
	// Data holds the values of the event's data lines, joined by line feeds.
	Data []byte
}

// EventReader reads events from a stream.
type EventReader struct {
	source *bufio.Reader
	// raw is the current event as read so far; its memory is used again for the next one.
	raw []byte
}

// eventBufferBytes is the size of the read buffer, enough for a few events; each running request has one.
const eventBufferBytes = 1 << 10

// NewEventReader returns an EventReader of a stream.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{
		source: bufio.NewReaderSize(source, eventBufferBytes),
	}
}

// Next returns the next complete event, which is valid until the next call. It returns io.EOF at the end of the stream
// and io.ErrUnexpectedEOF if the stream ends inside an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	event := Event{}
	for {
		start := len(e.raw)
		if err := e.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				continue
			}
			event.Raw = e.raw
			return event, nil
		}
		if err := event.applyField(line); err != nil {
			return Event{}, err
		}
	}
}

// readLine reads a line and appends it, including its line ending, to the raw event.
func (e *EventReader) readLine() error {
	for {
		part, err := e.source.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return ErrEvent
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// applyField applies one line of the form "name: value" to the event. Lines of other names are ignored.
func (e *Event) applyField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return ErrEvent
		}
		e.ID = id
		e.HasID = true
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	}
	return nil
}
