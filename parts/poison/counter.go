package poison

import (
	"slices"
	"sync"
	"time"
)

// Suspect is a suspected request, with the servers that crashed while they ran
// it.
type Suspect struct {
	Print   Fingerprint
	Servers []string
	// Left is the remaining time of the suspicion.
	Left time.Duration
}

// The limits of a counter.
const (
	// CounterMaxCrashes is the number of servers that must have crashed under
	// a request before it is blocked. When servers fail often, two unrelated
	// crashes under one request within a minute are not rare; three are caused
	// by it.
	CounterMaxCrashes = 3
	// counterTTL is how long a crash is remembered. A request that crashes
	// servers is sent again within seconds.
	counterTTL = time.Minute
	// maxCounted limits the number of requests that are remembered. The crash
	// of one server makes some hundred requests suspected.
	maxCounted = 4096
)

// Counter counts the servers that crashed under each request, for entry hosts
// that only gossip and do not keep a common [Tracker]. The zero value is ready
// to use. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	crashes map[Fingerprint]*crashRecord
	// cleared holds requests that succeeded recently, with the time until
	// which they count as harmless.
	cleared map[Fingerprint]time.Time
}

// crashRecord holds the servers that crashed under one request.
type crashRecord struct {
	servers []string
	expiry  time.Time
}

// RecordCrash records that a server crashed while it ran a request.
func (c *Counter) RecordCrash(f Fingerprint, server string, now time.Time) {
	c.Merge(Suspect{Print: f, Servers: []string{server}, Left: counterTTL}, now)
}

// RecordSuccess records that a request succeeded and thus does not crash
// servers. Many callers may send the same request, and unrelated crashes may
// happen under any of them; without this, all of them would be blocked for a
// minute.
func (c *Counter) RecordSuccess(f Fingerprint, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cleared == nil {
		c.cleared = map[Fingerprint]time.Time{}
	}
	if len(c.cleared) >= maxCounted {
		c.expire(now)
	}
	if len(c.cleared) < maxCounted {
		c.cleared[f] = now.Add(counterTTL)
	}
	delete(c.crashes, f)
}

// Merge adds the crashes that another entry host reports.
func (c *Counter) Merge(s Suspect, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.cleared[s.Print]) {
		return
	}
	if c.crashes == nil {
		c.crashes = map[Fingerprint]*crashRecord{}
	}
	c.expire(now)
	record := c.crashes[s.Print]
	if record == nil {
		if len(c.crashes) >= maxCounted {
			return
		}
		record = &crashRecord{}
		c.crashes[s.Print] = record
	}
	for _, server := range s.Servers {
		if !slices.Contains(record.servers, server) {
			record.servers = append(record.servers, server)
		}
	}
	if until := now.Add(min(s.Left, counterTTL)); until.After(record.expiry) {
		record.expiry = until
	}
}

// expire removes expired entries. The mutex is held.
func (c *Counter) expire(now time.Time) {
	for f, record := range c.crashes {
		if now.After(record.expiry) {
			delete(c.crashes, f)
		}
	}
	for f, until := range c.cleared {
		if now.After(until) {
			delete(c.cleared, f)
		}
	}
}

// Blocked reports whether a request must not run any more.
func (c *Counter) Blocked(f Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.crashes[f]
	return record != nil && !now.After(record.expiry) && len(record.servers) >= CounterMaxCrashes
}

// Suspects returns the requests to gossip: those under which at least two
// servers crashed. A single crash makes too many requests suspected to send
// them all.
func (c *Counter) Suspects(now time.Time) []Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Suspect
	for f, record := range c.crashes {
		if len(record.servers) > 1 && record.expiry.After(now) {
			list = append(list, Suspect{Print: f, Servers: slices.Clone(record.servers), Left: record.expiry.Sub(now)})
		}
	}
	return list
}
