package poison

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"
)

// The limits of a detector.
const (
	// MinCrashes is how many crashes a cause must explain before it is blocked, besides
	// crashesPerAnswer for each answer to a request with it.
	MinCrashes       = 3
	crashesPerAnswer = 2
	// sameEvent is the time between two crashes from which they count as two: the servers
	// of a rack fail together, whatever they run.
	sameEvent = 50 * time.Millisecond
	// crashTTL is how long crashes and answers count. Requests that crash servers come again within
	// seconds.
	crashTTL = time.Minute
	// maxAnswers is how many answers of the last crashTTL are kept for a cause. With that many
	// it is not blocked.
	maxAnswers = 32
	// maxEarlierAnswers is how many of the answers before the first crash count. They do not prove
	// that a cause is still harmless.
	maxEarlierAnswers = 3
	// sweepInterval is how often old crashes are looked for.
	sweepInterval = time.Second
	// maxCrashRecords and maxSuspects bound the memory of a detector.
	maxCrashRecords = 512
	maxSuspects     = 8192
)

// Detector finds out which requests, and which parts of prompts, crash servers, from the crashes that
// all entry hosts observe. Set the exported fields before use. It is safe for concurrent use.
//
// A crash is laid to all causes of the requests that the server had not begun to answer. Most of
// them are innocent: they are parts that other requests share, or ran there by chance. So a
// cause is blocked if it alone explains several crashes, and requests with it are hardly ever
// answered. Crashes that a blocked cause explains are not laid to others.
type Detector struct {
	// Owns reports whether this entry host is the one that tries requests with a blocked cause
	// again; nil means that it does.
	Owns func(Cause) bool
	// OnChange is called when there is evidence to send to other entry hosts; nil means that there
	// are none.
	OnChange func()
	Log      *slog.Logger

	mu       sync.Mutex
	crashes  map[string]*crash
	suspects map[Cause]*suspect
	blocked  map[Cause]bool
	// recent holds the causes of requests that were answered.
	recent Answers
	// stale says that blocked may have changed since updatedAt.
	stale     bool
	updatedAt time.Time
}

// crash is the crash of a server.
type crash struct {
	server string
	at     time.Time
	// causes holds the possible causes with their ranks.
	causes map[Cause]uint8
	// sequential holds the causes of requests that were sent to the server after another one had
	// crashed under a request with the cause.
	sequential map[Cause]bool
	// changed is when this entry host last learned something of it.
	changed time.Time
}

// suspect is a possible cause.
type suspect struct {
	crashes []*crash
	rank    uint8
	// answers holds the requests with the cause that servers have answered since the first
	// crash, by digests of their IDs.
	answers map[uint32]time.Time
	// earlier is the number of answers before the first crash, maxEarlierAnswers at most.
	earlier int
	changed time.Time
	// expiredAt is when old answers were last looked for.
	expiredAt time.Time
	trial     trial
}

// answered returns when the last of the answers came.
func (s *suspect) answered() (last time.Time) {
	for _, at := range s.answers {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// lastCrash returns when the last of the crashes happened.
func (s *suspect) lastCrash() time.Time {
	sorted := s.sorted()
	return sorted[len(sorted)-1].at
}

// Victim is a request under which a server crashed that had not begun to answer it.
type Victim struct {
	Causes []Cause
	// Sent is when the request was sent to the server.
	Sent time.Time
	// Answers holds, for each cause, the number of requests with it that were answered lately at
	// the entry host that reports the crash; nil means those recorded here.
	Answers []int
}

// RecordCrash records that a server crashed at a time under requests. server identifies the
// process.
func (d *Detector) RecordCrash(server string, victims []Victim, at, now time.Time) {
	d.mu.Lock()
	changed := false
	for _, v := range victims {
		// Blocked causes explain the crash.
		explained := slices.ContainsFunc(v.Causes, func(c Cause) bool { return d.blocked[c] })
		for i, cause := range v.Causes {
			if explained && !d.blocked[cause] {
				continue
			}
			added := d.addCause(server, cause, rank(i, len(v.Causes)), at, now)
			if c := d.crashes[server]; c != nil && !c.sequential[cause] && d.sentAfterCrash(cause, c, v.Sent) {
				c.setSequential(cause, now)
				added = true
			}
			if s := d.suspects[cause]; s != nil && i < len(v.Answers) {
				s.earlier = max(s.earlier, min(v.Answers[i], maxEarlierAnswers))
			}
			changed = changed || added
		}
	}
	d.update(now)
	d.mu.Unlock()
	if changed && d.OnChange != nil {
		d.OnChange()
	}
}

// sentAfterCrash reports whether a request was sent after another server than that of the given crash
// had crashed under a request with a cause. The mutex is held.
func (d *Detector) sentAfterCrash(cause Cause, c *crash, sent time.Time) bool {
	s := d.suspects[cause]
	return s != nil && slices.ContainsFunc(s.crashes, func(other *crash) bool { return other != c && other.at.Before(sent) })
}

// setSequential records that a request with a cause was sent to the server after another one had
// crashed under a request with it.
func (c *crash) setSequential(cause Cause, now time.Time) {
	if c.sequential == nil {
		c.sequential = map[Cause]bool{}
	}
	c.sequential[cause], c.changed = true, now
}

// addCause adds a possible cause of a crash, and reports whether it is new. The mutex is held.
func (d *Detector) addCause(server string, cause Cause, rank uint8, at, now time.Time) bool {
	if d.crashes == nil {
		d.crashes, d.suspects, d.blocked = map[string]*crash{}, map[Cause]*suspect{}, map[Cause]bool{}
	}
	c := d.crashes[server]
	if c != nil && at.Before(c.at) {
		c.at = at
	}
	if c != nil {
		if _, known := c.causes[cause]; known {
			return false
		}
	}
	if d.isFull(c) {
		if d.removeOldest(at, c); d.isFull(c) {
			return false
		}
	}
	s := d.suspects[cause]
	if c == nil {
		c = &crash{server: server, at: at, causes: map[Cause]uint8{}}
		d.crashes[server] = c
	}
	if s == nil {
		s = &suspect{answers: map[uint32]time.Time{}, earlier: d.recent.Count(cause, now)}
		d.suspects[cause] = s
	}
	c.causes[cause], c.changed = rank, now
	s.changed = now
	s.crashes, s.rank = append(s.crashes, c), max(s.rank, rank)
	return true
}

// isFull reports whether there is no room for another cause, or for another crash if c is nil. The
// mutex is held.
func (d *Detector) isFull(c *crash) bool {
	return len(d.suspects) >= maxSuspects || c == nil && len(d.crashes) >= maxCrashRecords
}

// removeOldest removes the oldest crash but the given one and those for which causes are blocked, if
// it is older than the given time. The mutex is held.
func (d *Detector) removeOldest(than time.Time, kept *crash) {
	lasting := d.lastingCrashes()
	var oldest *crash
	for _, c := range d.crashes {
		if c != kept && lasting[c] == nil && c.at.Before(than) {
			oldest, than = c, c.at
		}
	}
	if oldest != nil {
		d.remove(oldest)
	}
}

// remove removes a crash. The mutex is held.
func (d *Detector) remove(c *crash) {
	delete(d.crashes, c.server)
	for cause := range c.causes {
		d.removeCause(c, cause)
	}
}

// removeCause removes a possible cause of a crash. The mutex is held.
func (d *Detector) removeCause(c *crash, cause Cause) {
	delete(c.causes, cause)
	delete(c.sequential, cause)
	s := d.suspects[cause]
	s.crashes = slices.DeleteFunc(s.crashes, func(other *crash) bool { return other == c })
	if len(s.crashes) == 0 {
		delete(d.suspects, cause)
		delete(d.blocked, cause)
	}
}

// RecordAnswer records that a server has answered a request, which speaks for all its causes.
func (d *Detector) RecordAnswer(causes []Cause, requestID string, now time.Time) {
	h := fnv.New32a()
	h.Write([]byte(requestID))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, cause := range causes {
		if d.suspects[cause] == nil {
			d.recent.Add(cause, now)
			continue
		}
		d.addAnswer(cause, h.Sum32(), now, now)
	}
}

// addAnswer adds an answer to a request with a cause. The mutex is held.
func (d *Detector) addAnswer(cause Cause, request uint32, at, now time.Time) {
	s := d.suspects[cause]
	if s == nil {
		return
	}
	if _, known := s.answers[request]; known || now.Sub(at) > crashTTL {
		return
	}
	if len(s.answers) >= maxAnswers {
		if now.Sub(s.expiredAt) < sweepInterval {
			return
		}
		s.expiredAt = now
		maps.DeleteFunc(s.answers, func(_ uint32, at time.Time) bool { return now.Sub(at) > crashTTL })
		if len(s.answers) >= maxAnswers {
			return
		}
	}
	s.answers[request], s.changed = at, now
	d.stale = d.stale || len(s.crashes) >= MinCrashes
}

// Blocked returns the cause for which a request is blocked, if it is, and when it may be tried
// again.
func (d *Detector) Blocked(causes []Cause, now time.Time) (cause Cause, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range causes {
		if d.blocked[c] {
			return c, max(d.suspects[c].nextTrial().Sub(now), minRetryAfter)
		}
	}
	return "", 0
}

// Counts returns the numbers of possible causes and of those that are blocked.
func (d *Detector) Counts() (suspects, blocked int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects), len(d.blocked)
}

// Sweep forgets what is too old to count, and releases causes that are not blocked any more.
func (d *Detector) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stale && now.Sub(d.updatedAt) < sweepInterval || len(d.crashes) == 0 {
		return
	}
	for _, c := range d.crashes {
		if now.Sub(c.at) <= crashTTL {
			continue
		}
		for cause := range c.causes {
			if !d.blocked[cause] || now.Sub(d.suspects[cause].lastCrash()) > BlockFor {
				d.removeCause(c, cause)
			}
		}
		if len(c.causes) == 0 {
			delete(d.crashes, c.server)
		}
	}
	d.update(now)
}
