// Package limit tracks the request rates that backend servers name in their
// responses.
//
// A server in need names the rate of requests that it takes from all entry hosts
// together, for as long as its responses say so. The latest response to a request
// counts, and responses on different connections may overtake each other. So a
// response that names a rate counts as of when it was received, and one that names
// none as of when its request was sent.
package limit

import (
	"log/slog"
	"sync"
	"time"
)

// Response is what a response of a server says about its rate limit.
type Response struct {
	// Limited says that the response names a rate, and Rate is that rate in requests
	// per second.
	Limited bool
	Rate    float64
	// Ran says that the server ran the request. A response to one that it refused
	// does not end a limit.
	Ran bool
	// SentAt is when the request was sent, and ReceivedAt when the header of the
	// response was received.
	SentAt, ReceivedAt time.Time
}

// Tracker tracks the rate limits of servers. Set the exported fields before use. It
// is safe for concurrent use.
type Tracker struct {
	Log *slog.Logger

	mu      sync.Mutex
	servers map[string]*server
}

// server is what is known of the rate limit of one server.
type server struct {
	limited bool
	rate    float64
	// observedAt is the time as of which limited and rate are known.
	observedAt time.Time
}

// Observe records what a response of a server says about its rate limit. It reports
// whether that changes what was known.
func (t *Tracker) Observe(id string, r Response) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.servers[id]
	if !r.Limited {
		if !known || !s.limited || !r.Ran || !r.SentAt.After(s.observedAt) {
			return false
		}
		s.limited, s.observedAt = false, r.SentAt
		t.Log.Info("limit: ended", "server", id)
		return true
	}
	if !known {
		if t.servers == nil {
			t.servers = map[string]*server{}
		}
		s = &server{}
		t.servers[id] = s
	}
	changed = !s.limited || s.rate != r.Rate
	s.limited, s.rate, s.observedAt = true, r.Rate, r.ReceivedAt
	if changed {
		t.Log.Info("limit: named", "server", id, "rate", r.Rate)
	}
	return changed
}

// Limited returns the number of servers whose rate is limited.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.limited {
			n++
		}
	}
	return n
}
