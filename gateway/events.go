package gateway

import (
	"bytes"
	"strconv"
)

// Event is a server-sent event, including the empty line that ends it.
type Event struct {
	Raw []byte
	ID  int64 // -1: none
}

// EventSplitter splits a byte stream into complete events. It keeps the bytes after the last complete event, so that no
// incomplete event of a broken stream is passed on.
type EventSplitter struct{ rest []byte }

// maxEventBytes bounds an event. Events have some hundred bytes.
const maxEventBytes = 256 << 10

// Overflowed reports whether the bytes after the last complete event are too many for one event.
func (s *EventSplitter) Overflowed() bool { return len(s.rest) > maxEventBytes }

// Push adds bytes and returns the events that are complete with them. They are valid until the next call.
func (s *EventSplitter) Push(p []byte) []Event {
	s.rest = append(s.rest, p...)
	var events []Event
	done := 0
	for {
		end := eventEnd(s.rest[done:])
		if end < 0 {
			break
		}
		raw := bytes.Clone(s.rest[done : done+end])
		events = append(events, Event{Raw: raw, ID: eventID(raw)})
		done += end
	}
	s.rest = append(s.rest[:0], s.rest[done:]...)
	return events
}

// Rest returns the bytes after the last complete event.
func (s *EventSplitter) Rest() []byte { return s.rest }

// eventEnd returns the length of the first event, including its empty line, or -1 if it is incomplete.
func eventEnd(p []byte) int {
	lf := bytes.Index(p, []byte("\n\n"))
	crlf := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + 4
	case lf >= 0:
		return lf + 2
	}
	return -1
}

// eventID returns the number in the event's id field, or -1.
func eventID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return -1
		}
		return id
	}
	return -1
}
