package stream

import (
	"bytes"
	"strconv"
)

// eventFilter splits the bytes of an event stream into whole events. What is
// forwarded always ends at the end of an event, so that another server can continue
// from there.
type eventFilter struct {
	pending []byte
	// lastID is the ID of the last event that the caller has.
	lastID string
	// count is the number of forwarded events.
	count int
	// seen is the number of whole events, also of those that the caller had already.
	seen int
	// resumed is set if the stream continues after lastID. Events up to there are
	// dropped, because the caller already has them.
	resumed bool
	// skipped is set if a resumed stream left out the event after lastID.
	skipped bool
}

// position is how much of a stream the caller has.
type position struct {
	// lastID is the ID of the last event, and count the number of events.
	lastID string
	count  int
}

var eventDelimiter = []byte("\n\n")

// maxEventBytes bounds the size of an event whose end has not been read yet.
const maxEventBytes = 1 << 20

// add appends bytes of the stream and returns the whole events in them that the
// caller does not have. The result is valid until the next call.
func (e *eventFilter) add(b []byte) []byte {
	searched := max(0, len(e.pending)-len(eventDelimiter)+1)
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending[searched:], eventDelimiter)
	if end < 0 {
		return nil
	}
	end += searched + len(eventDelimiter)
	whole := e.pending[:end]
	kept := e.filter(whole)
	rest := append([]byte(nil), e.pending[end:]...)
	e.pending = rest
	return kept
}

// filter drops events that the caller already has, and records the ID of the last
// one.
func (e *eventFilter) filter(whole []byte) []byte {
	kept := whole[:0:0]
	for len(whole) > 0 {
		end := bytes.Index(whole, eventDelimiter) + len(eventDelimiter)
		event := whole[:end]
		whole = whole[end:]
		e.seen++
		id := eventID(event)
		if e.delivered(id) {
			continue
		}
		if e.resumed && id != "" && !e.follows(id) {
			e.skipped = true
			return kept
		}
		kept = append(kept, event...)
		if id != "" {
			e.lastID = id
		}
		e.count++
	}
	return kept
}

// delivered reports whether the caller already has an event.
func (e *eventFilter) delivered(id string) bool {
	if !e.resumed || id == "" || e.lastID == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.lastID, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// follows reports whether an event directly follows the last one. IDs that are not
// numbers cannot be compared and count as following.
func (e *eventFilter) follows(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.lastID, 10, 64)
	return err != nil || lastErr != nil || n == last+1
}

// resume prepares for a new attempt, which continues after the last event.
func (e *eventFilter) resume() {
	e.pending = nil
	e.resumed = e.lastID != ""
}

// sync continues after what the caller has.
func (e *eventFilter) sync(p position) {
	e.lastID, e.count = p.lastID, p.count
}

// partial reports whether an event has started and not ended.
func (e *eventFilter) partial() bool {
	return len(bytes.TrimSpace(e.pending)) > 0
}

func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
