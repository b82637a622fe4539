package source

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/stall"
)

// Timeouts and intervals of stale reads.
const (
	// readTimeout limits a stale read.
	readTimeout = 500 * time.Millisecond
	// readInterval is the interval of the stale reads, and limits how late an outage
	// of the object API is noticed.
	readInterval = time.Second
	// passiveReadInterval is the interval of the stale reads of a passive entry host:
	// only hosts that watch need to notice an outage at once.
	passiveReadInterval = 4 * time.Second
	// The entry hosts of a failure domain together read at most once in
	// minReadSpacing, and once in minOutageReadSpacing during an outage.
	minReadSpacing       = 250 * time.Millisecond
	minOutageReadSpacing = 60 * time.Millisecond
)

// Monitor checks whether the object API answers. Set the exported fields before Run.
type Monitor struct {
	Store Store
	// Kind and Name identify the object that is read; Mirror is the mirror of its
	// kind.
	Kind, Name string
	Mirror     *mirror.Mirror
	Watchers   []*Watcher
	Log        *slog.Logger
	// Clock measures the timeout of a read; nil means real time.
	Clock *stall.Clock
	// OnRecovery is called when the object API answers again or was restored.
	OnRecovery func()
	// Role returns the role of this entry host in its failure domain; nil means
	// Primary.
	Role func() Role
	// Hosts returns the number of entry hosts alive in the failure domain, including
	// this one; nil means one.
	Hosts func() int
	// PeersReach reports whether the object API answers another entry host of the failure
	// domain; nil means that it does not.
	PeersReach func() bool

	mu         sync.Mutex
	alive      bool
	lastAnswer time.Time
	// era is the highest era that a read was answered in.
	era uint64
	// reads is the number of reads so far.
	reads int64
}

// Reads returns the number of reads so far.
func (m *Monitor) Reads() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads
}

// Alive reports whether the object API answered the last read, and when it last
// answered one.
func (m *Monitor) Alive() (bool, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive, m.lastAnswer
}

// Run checks the object API until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	m.setAlive(true)
	var lastCheck time.Time
	for ctx.Err() == nil {
		sleep(ctx, readInterval)
		// The sleeps may take a little less than the interval between two reads.
		if time.Since(lastCheck) < m.interval()-readInterval/2 {
			continue
		}
		lastCheck = time.Now()
		m.check(ctx)
	}
}

// interval returns the interval between reads. That of passive hosts grows with their number,
// so that the load on the object API does not. During an outage they read as often as others
// while they are few, and once the object API answers another host.
func (m *Monitor) interval() time.Duration {
	if m.Role == nil || m.Role() != Passive {
		return readInterval
	}
	hosts := 1
	if m.Hosts != nil {
		hosts = m.Hosts()
	}
	if alive, _ := m.Alive(); alive {
		return max(passiveReadInterval, time.Duration(hosts)*minReadSpacing)
	}
	if m.PeersReach != nil && m.PeersReach() {
		return readInterval
	}
	return max(readInterval, time.Duration(hosts)*minOutageReadSpacing)
}

// check reads the revision of the object, and restarts the watches if the object API
// answers again or a watch has missed a change.
func (m *Monitor) check(ctx context.Context) {
	startedAt := m.Clock.Mark()
	ctx, cancel := m.Clock.WithIdleTimeout(ctx, readTimeout, nil)
	defer cancel()
	read, err := m.Store.StaleRevision(ctx, m.Kind, m.Name)
	m.countRead()
	wasAlive := m.setAlive(err == nil)
	if err != nil {
		if wasAlive {
			m.Log.Warn("store: lost", "error", err, "delay", m.Clock.Delay(startedAt))
		}
		return
	}
	cursor := m.Mirror.Cursor()
	switch {
	case m.recordEra(read.Era):
		m.Log.Warn("store: restored from an older copy", "era", read.Era, "known", cursor.Revision)
		m.OnRecovery()
		for _, w := range m.Watchers {
			w.Relist()
		}
	case !wasAlive:
		m.Log.Info("store: regained")
		m.OnRecovery()
		m.restartWatches()
	case read.After(cursor):
		m.Log.Warn("store: watch missed a change", "revision", read.Revision, "cursor", cursor.Revision)
		m.restartWatches()
	}
}

func (m *Monitor) countRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
}

// recordEra records the era of an answer. It reports whether the object API was restored
// since an earlier one.
func (m *Monitor) recordEra(era uint64) (restored bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	restored = m.era > 0 && era > m.era
	m.era = max(m.era, era)
	return restored
}

// Era returns the highest era that a read was answered in; zero if none was.
func (m *Monitor) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

func (m *Monitor) restartWatches() {
	for _, w := range m.Watchers {
		w.Restart()
	}
}

// setAlive records whether a read was answered and returns whether the previous one was.
func (m *Monitor) setAlive(alive bool) (wasAlive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasAlive = m.alive
	m.alive = alive
	if alive {
		m.lastAnswer = time.Now()
	}
	return wasAlive
}
