package stream

import (
	"bytes"
	"strconv"
)

// eventFilter cuts the bytes of an event stream into whole eventFilter. What is passed
// on always ends with an event, so another server can go on behind it.
type eventFilter struct {
	pending []byte
	// lastID is the number of the lastID event that was passed on, as text.
	lastID string
	// count is the number of events passed on.
	count int
	// resumed drops events up to last, which the caller has.
	resumed bool
	// gap says that a resumed run left an event out.
	gap bool
}

var eventDelimiter = []byte("\n\n")

// maxEventBytes bounds an event that has not ended yet.
const maxEventBytes = 1 << 20

// add takes bytes of a stream and returns the whole events in them that the
// caller lacks. The result is valid until the next call.
func (e *eventFilter) add(b []byte) []byte {
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending, eventDelimiter)
	if end < 0 {
		return nil
	}
	end += len(eventDelimiter)
	whole := e.pending[:end]
	kept := e.filter(whole)
	rest := append([]byte(nil), e.pending[end:]...)
	e.pending = rest
	return kept
}

// filter drops events that the caller has, and notes the last one.
func (e *eventFilter) filter(whole []byte) []byte {
	kept := whole[:0:0]
	for len(whole) > 0 {
		end := bytes.Index(whole, eventDelimiter) + len(eventDelimiter)
		event := whole[:end]
		whole = whole[end:]
		id := eventID(event)
		if e.delivered(id) {
			continue
		}
		if e.resumed && id != "" && !e.follows(id) {
			e.gap = true
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

// delivered reports whether the caller has an event already.
func (e *eventFilter) delivered(id string) bool {
	if !e.resumed || id == "" || e.lastID == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.lastID, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// follows reports whether an event follows the last one without a gap.
func (e *eventFilter) follows(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.lastID, 10, 64)
	return err != nil || lastErr != nil || n == last+1
}

// resume prepares for a new run that goes on behind the last event.
func (e *eventFilter) resume() {
	e.pending = nil
	e.resumed = e.lastID != ""
}

// partial reports whether an event has begun and not ended.
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
