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

// maxEventBytes is the maximum size of an event, including blank lines and comments before it. Events of generated text
// have a few hundred bytes.
const maxEventBytes = 64 << 10

// Event is one server-sent event of a stream.
type Event struct {
	// Raw is the event as received, including the empty line that ends it, and blank lines and comments before it.
	Raw []byte
	// ID is the number in the event's id field; HasID reports whether it has one.
	ID    int64
	HasID bool
	// HasFields reports whether the event has any field, also one that is not known here.
	HasFields bool
	// Data holds the values of the event's data lines, joined by line feeds; HasData reports whether it has such a line, which
	// may be empty.
	Data    []byte
	HasData bool
}

// Continues reports whether an event may be the first one of an answer that continues a stream: it is numbered, or only blank
// lines and comments. The text of an error is neither.
func (e Event) Continues() bool {
	return e.HasID || !e.HasFields
}

// HasContent reports whether the event has an id or data. Blank lines and comments at the end of a stream have neither.
func (e Event) HasContent() bool {
	return e.HasID || e.HasData
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

// Next returns the next complete event, which is valid until the next call. Blank lines and comments are not events, so
// that an endpoint that sends only these does not appear to make progress; those at the end of the stream are returned
// as an event without an id and data. Next returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if the stream
// ends inside an event, and ErrEvent if an event is invalid or too long.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	event := Event{}
	// fields counts the fields of the event so far.
	fields := 0
	for {
		start := len(e.raw)
		if err := e.readLine(); err != nil {
			return e.end(err, start, fields)
		}
		line := bytes.TrimRight(e.raw[start:], "\r\n")
		switch {
		case len(line) == 0 && fields > 0:
			event.Raw = e.raw
			event.HasFields = true
			return event, nil
		case len(line) == 0 || line[0] == ':':
			continue
		}
		if err := event.applyField(line); err != nil {
			return Event{}, err
		}
		fields++
	}
}

// end returns the result of Next if reading a line failed after the line's first part was appended at start.
func (e *EventReader) end(err error, start, fields int) (Event, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(e.raw) == 0:
		return Event{}, err
	case fields > 0 || len(e.raw) > start:
		return Event{}, io.ErrUnexpectedEOF
	}
	return Event{
		Raw: e.raw,
	}, nil
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
		if e.HasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		e.HasData = true
	}
	return nil
}
