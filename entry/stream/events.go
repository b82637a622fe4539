package stream

import (
	"bytes"
	"strconv"
)

// events cuts the bytes of an event stream into whole events. What is passed
// on always ends with an event, so another server can go on behind it.
type events struct {
	pending []byte
	// last is the number of the last event that was passed on, as text.
	last string
	// count is the number of events passed on.
	count int
	// resumed drops events up to last, which the caller has.
	resumed bool
	// gap says that a resumed run left an event out.
	gap bool
}

var endOfEvent = []byte("\n\n")

// maxEvent bounds an event that has not ended yet.
const maxEvent = 1 << 20

// add takes bytes of a stream and returns the whole events in them that the
// caller lacks. The result is valid until the next call.
func (e *events) add(b []byte) []byte {
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending, endOfEvent)
	if end < 0 {
		return nil
	}
	end += len(endOfEvent)
	whole := e.pending[:end]
	kept := e.filter(whole)
	rest := append([]byte(nil), e.pending[end:]...)
	e.pending = rest
	return kept
}

// filter drops events that the caller has, and notes the last one.
func (e *events) filter(whole []byte) []byte {
	kept := whole[:0:0]
	for len(whole) > 0 {
		end := bytes.Index(whole, endOfEvent) + len(endOfEvent)
		event := whole[:end]
		whole = whole[end:]
		id := idOf(event)
		if e.old(id) {
			continue
		}
		if e.resumed && id != "" && !e.next(id) {
			e.gap = true
			return kept
		}
		kept = append(kept, event...)
		if id != "" {
			e.last = id
		}
		e.count++
	}
	return kept
}

// old reports whether the caller has an event already.
func (e *events) old(id string) bool {
	if !e.resumed || id == "" || e.last == "" {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.last, 10, 64)
	return err == nil && lastErr == nil && n <= last
}

// next reports whether an event follows the last one without a gap.
func (e *events) next(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(e.last, 10, 64)
	return err != nil || lastErr != nil || n == last+1
}

// resume prepares for a new run that goes on behind the last event.
func (e *events) resume() {
	e.pending = nil
	e.resumed = e.last != ""
}

// partial reports whether an event has begun and not ended.
func (e *events) partial() bool {
	return len(bytes.TrimSpace(e.pending)) > 0
}

func idOf(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
