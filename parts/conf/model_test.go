package conf_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
)

// exploreSteps is the mean number of steps of an exploration. A restore that can
// undo a line takes a dozen steps in the right order.
const exploreSteps = "120"

// fixSeed makes explorations reproducible. Use -rapid.checks=N -rapid.seed=S to
// run others.
func fixSeed(t *testing.T) {
	for _, set := range []struct{ name, defaultValue, value string }{
		{"rapid.seed", "0", "1"}, {"rapid.steps", "30", exploreSteps},
	} {
		if f := flag.Lookup(set.name); f.Value.String() != set.defaultValue {
			continue
		}
		if err := flag.Set(set.name, set.value); err != nil {
			t.Fatal(err)
		}
	}
}

// storedObject is the configuration object with its version.
type storedObject struct {
	version uint64
	config  *conf.Config
}

// pendingWrite is a copy of a write that has not reached the object API yet.
type pendingWrite struct {
	baseVersion uint64
	value       *conf.Config
}

// entryHost is an entry host that may be applying an operator's line.
type entryHost struct {
	inForce *conf.Config
	// highestRevision is the highest revision that was ever in force.
	highestRevision uint64
	inProgress      bool
	lineID          string
	seenRevision    uint64
	peerRevision    uint64
	unresponsive    bool
	write           conf.Write
	built           *conf.Config
}

// adopt puts a configuration in force if it supersedes the current one.
func (h *entryHost) adopt(c *conf.Config) {
	if c.Supersedes(h.inForce) {
		h.inForce = c
	}
}

// model is a model of the object API and of some entry hosts.
type model struct {
	store, backup storedObject
	// former holds the objects that stale replicas may answer with.
	former    []storedObject
	pending   []pendingWrite
	hosts     []*entryHost
	lineCount int
	restores  bool

	accepted, done, refused map[string]uint64
}

func newModel(restores bool) *model {
	empty := storedObject{config: (*conf.Config)(nil).Clone()}
	m := &model{
		store: empty, former: []storedObject{empty}, backup: empty, restores: restores,
		accepted: map[string]uint64{}, done: map[string]uint64{}, refused: map[string]uint64{},
	}
	for range 3 {
		m.hosts = append(m.hosts, &entryHost{inForce: empty.config})
	}
	return m
}

func (m *model) pickHost(t *rapid.T) *entryHost {
	return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "entry host")]
}

// begin starts a line by querying the other entry hosts, some of which may not
// answer.
func (m *model) begin(t *rapid.T) {
	h := m.pickHost(t)
	if h.inProgress {
		t.Skip("busy")
	}
	m.lineCount++
	*h = entryHost{inForce: h.inForce, highestRevision: h.highestRevision, inProgress: true, lineID: fmt.Sprint("line-", m.lineCount), seenRevision: h.inForce.Revision}
	for _, other := range m.hosts {
		if other == h {
			continue
		}
		if rapid.Bool().Draw(t, "answers") {
			h.peerRevision = max(h.peerRevision, other.inForce.Revision)
			continue
		}
		h.unresponsive = true
	}
}

// read lets an entry host read the object, sometimes from a stale replica, and
// do the next step of its write.
func (m *model) read(t *rapid.T) {
	h := m.pickHost(t)
	if !h.inProgress {
		t.Skip("idle")
	}
	object := m.store
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		object = m.former[rapid.IntRange(0, len(m.former)-1).Draw(t, "copy")]
	}
	var found *conf.Line
	for _, c := range []*conf.Config{object.config, h.inForce} {
		if line, ok := c.Find(h.lineID); ok {
			found = &line
		}
	}
	switch step := h.write.Read(object.version, object.config, found).(type) {
	case conf.Accepted:
		m.accept(h, step.Line.Revision)
	case conf.Build:
		m.build(t, h, object)
	case conf.Resend:
		m.send(t, h, object)
	}
}

func (m *model) build(t *rapid.T, h *entryHost, object storedObject) {
	var base *conf.Config
	switch conf.ChooseBasis(object.config, h.inForce, h.peerRevision, h.unresponsive) {
	case conf.Stored:
		base = object.config
	case conf.Local:
		base = h.inForce.RebaseOnto(object.config)
	case conf.Peers:
		for _, other := range m.hosts {
			if base == nil || other.inForce.Revision > base.Revision {
				base = other.inForce
			}
		}
		if !base.Supersedes(h.inForce) {
			return
		}
		base = base.RebaseOnto(object.config)
	case conf.None:
		return
	}
	resource := rapid.SampledFrom([]string{"pool a", "pool b"}).Draw(t, "resource")
	if _, conflict, complete := base.Conflict(resource, h.seenRevision); conflict || !complete || h.seenRevision > base.Revision {
		m.end(h)
		return
	}
	h.built = base.Clone()
	h.built.Revision++
	h.built.Record(conf.Line{ID: h.lineID, Revision: h.built.Revision, Resource: resource})
	m.send(t, h, object)
}

// send sends a copy of the write, with one of the possible outcomes.
func (m *model) send(t *rapid.T, h *entryHost, object storedObject) {
	write := pendingWrite{baseVersion: object.version, value: h.built}
	switch rapid.SampledFrom([]string{"answered", "reply lost", "lost", "late", "never left"}).Draw(t, "outcome") {
	case "answered":
		if m.deliver(write) {
			m.accept(h, h.built.Revision)
			return
		}
		h.write.Sent(write.baseVersion, object.config, fault.NotRun)
	case "reply lost":
		m.deliver(write)
		h.write.Sent(write.baseVersion, object.config, fault.MayHaveRun)
	case "lost":
		h.write.Sent(write.baseVersion, object.config, fault.MayHaveRun)
	case "late":
		m.pending = append(m.pending, write)
		h.write.Sent(write.baseVersion, object.config, fault.MayHaveRun)
	case "never left":
		h.write.Sent(write.baseVersion, object.config, fault.NotRun)
	}
}

func (m *model) deliver(write pendingWrite) bool {
	if write.baseVersion != m.store.version {
		return false
	}
	m.former = append(m.former, m.store)
	m.store = storedObject{version: m.store.version + 1, config: write.value}
	return true
}

func (m *model) deliverLate(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("no pending writes")
	}
	at := rapid.IntRange(0, len(m.pending)-1).Draw(t, "copy")
	m.deliver(m.pending[at])
	m.pending = append(m.pending[:at:at], m.pending[at+1:]...)
}

func (m *model) accept(h *entryHost, revision uint64) {
	m.accepted[h.lineID] = revision
	h.inProgress = false
	if h.built != nil {
		h.adopt(h.built)
	}
}

// end abandons a line. It counts as refused unless it may have taken effect.
func (m *model) end(h *entryHost) {
	if !h.write.Uncertain() {
		m.refused[h.lineID] = 0
	}
	h.inProgress = false
}

func (m *model) abandon(t *rapid.T) {
	h := m.pickHost(t)
	if !h.inProgress {
		t.Skip("idle")
	}
	m.end(h)
}

func (m *model) watch(t *rapid.T) {
	h := m.pickHost(t)
	h.adopt(m.store.config)
}

func (m *model) gossip(t *rapid.T) {
	to, from := m.pickHost(t), m.pickHost(t)
	to.adopt(from.inForce)
}

// restart restarts an entry host without its configuration. It adopts the newest
// one of the object API and of at least one other entry host, in either order.
func (m *model) restart(t *rapid.T) {
	h := m.pickHost(t)
	if h.inProgress {
		t.Skip("busy")
	}
	*h = entryHost{inForce: (*conf.Config)(nil).Clone()}
	storeFirst := rapid.Bool().Draw(t, "store first")
	if storeFirst {
		h.adopt(m.store.config)
	}
	queried := false
	for _, other := range m.hosts {
		if other != h && (!queried || rapid.Bool().Draw(t, "answers")) {
			queried = true
			if other.inForce.SupersedesAtStart(h.inForce) {
				h.inForce = other.inForce
			}
		}
	}
	if !storeFirst {
		h.adopt(m.store.config)
	}
}

// confirm marks the accepted lines that are in force on every entry host as
// done.
func (m *model) confirm(*rapid.T) {
	for lineID, revision := range m.accepted {
		all := true
		for _, h := range m.hosts {
			_, found := h.inForce.Find(lineID)
			all = all && found
		}
		if all {
			m.done[lineID] = revision
		}
	}
}

func (m *model) backUp(t *rapid.T) {
	if !m.restores {
		t.Skip("no restores")
	}
	m.backup = m.store
}

// restore replaces the stored object with its backup, version counter included,
// while no line is in progress.
func (m *model) restore(t *rapid.T) {
	for _, h := range m.hosts {
		if h.inProgress || !m.restores {
			t.Skip("busy")
		}
	}
	m.store, m.former, m.pending = m.backup, []storedObject{m.backup}, nil
}

// check verifies the invariants after every step.
func (m *model) check(t *rapid.T) {
	for _, h := range m.hosts {
		if h.inForce.Revision < h.highestRevision {
			t.Fatalf("revision went back from %d to %d", h.highestRevision, h.inForce.Revision)
		}
		h.highestRevision = h.inForce.Revision
		for lineID := range m.done {
			if _, found := h.inForce.Find(lineID); !found {
				t.Fatalf("%s was done and is not in force", lineID)
			}
		}
		for lineID, revision := range m.accepted {
			_, found := h.inForce.Find(lineID)
			if !found && !m.restores && h.inForce.Revision >= revision {
				t.Fatalf("%s, accepted at revision %d, is not in force at revision %d", lineID, revision, h.inForce.Revision)
			}
		}
		counts := map[string]int{}
		for _, line := range h.inForce.History {
			counts[line.ID]++
			if _, refused := m.refused[line.ID]; refused {
				t.Fatalf("%s was refused and is in force", line.ID)
			}
			if counts[line.ID] > 1 {
				t.Fatalf("%s is in force twice", line.ID)
			}
		}
	}
}

func explore(t *testing.T, restores bool) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(restores)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "read": m.read, "read again": m.read, "late write": m.deliverLate,
			"give up": m.abandon, "watch": m.watch, "gossip": m.gossip, "confirm": m.confirm,
			"restart":    m.restart,
			"copy store": m.backUp, "restore": m.restore, "": m.check,
		})
	})
}

// Guards against a refused line that is in force and an accepted line that is
// undone, while several entry hosts write at once, writes and replies are lost
// or delayed, and stale replicas answer reads.
func TestExploreWrites(t *testing.T) {
	explore(t, false)
}

// Guards against the same failures while the object API is also restored from
// older copies: lines that were in force on every entry host must stay in force.
func TestExploreRestores(t *testing.T) {
	explore(t, true)
}
