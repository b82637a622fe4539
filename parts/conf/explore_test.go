package conf_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
)

// exploreSteps is the mean length of an exploration. A restore that matters
// needs a dozen steps in the right order.
const exploreSteps = "120"

// fixSeed makes explorations repeat. More are run with -rapid.checks=N
// -rapid.seed=S.
func fixSeed(t *testing.T) {
	for _, set := range []struct{ name, standard, value string }{
		{"rapid.seed", "0", "1"}, {"rapid.steps", "30", exploreSteps},
	} {
		if f := flag.Lookup(set.name); f.Value.String() != set.standard {
			continue
		}
		if err := flag.Set(set.name, set.value); err != nil {
			t.Fatal(err)
		}
	}
}

// kept is an object with its version.
type kept struct {
	version uint64
	config  *conf.Config
}

// copyOut is a copy of a write that is still on its way.
type copyOut struct {
	base  uint64
	value *conf.Config
}

// seat is an entry host with an operator's line in progress.
type seat struct {
	inForce *conf.Config
	// highest is the highest revision that was ever in force.
	highest uint64
	busy    bool
	id      string
	seen    uint64
	peers   uint64
	silent  bool
	write   conf.Write
	sent    *conf.Config
}

// take puts a configuration in force that may come in place of the one that
// is.
func (s *seat) take(c *conf.Config) {
	if c.Supersedes(s.inForce) {
		s.inForce = c
	}
}

// world is a model of the object API and of some entry hosts.
type world struct {
	store, backup kept
	// former are the versions that older copies may answer with.
	former   []kept
	flying   []copyOut
	seats    []*seat
	next     int
	restores bool

	accepted, done, refused map[string]uint64
}

func newWorld(restores bool) *world {
	empty := kept{config: (*conf.Config)(nil).Clone()}
	w := &world{
		store: empty, former: []kept{empty}, backup: empty, restores: restores,
		accepted: map[string]uint64{}, done: map[string]uint64{}, refused: map[string]uint64{},
	}
	for range 3 {
		w.seats = append(w.seats, &seat{inForce: empty.config})
	}
	return w
}

func (w *world) pick(t *rapid.T) *seat {
	return w.seats[rapid.IntRange(0, len(w.seats)-1).Draw(t, "seat")]
}

// begin starts a line, after a survey of the other entry hosts of which some
// may not answer.
func (w *world) begin(t *rapid.T) {
	s := w.pick(t)
	if s.busy {
		t.Skip("busy")
	}
	w.next++
	*s = seat{inForce: s.inForce, highest: s.highest, busy: true, id: fmt.Sprint("line-", w.next), seen: s.inForce.Revision}
	for _, other := range w.seats {
		if other == s {
			continue
		}
		if rapid.Bool().Draw(t, "answers") {
			s.peers = max(s.peers, other.inForce.Revision)
			continue
		}
		s.silent = true
	}
}

// read has a seat read the object, sometimes from an older copy, and go on.
func (w *world) read(t *rapid.T) {
	s := w.pick(t)
	if !s.busy {
		t.Skip("idle")
	}
	object := w.store
	if rapid.IntRange(0, 4).Draw(t, "old") == 0 {
		object = w.former[rapid.IntRange(0, len(w.former)-1).Draw(t, "copy")]
	}
	var found *conf.Line
	for _, c := range []*conf.Config{object.config, s.inForce} {
		if line, ok := c.Find(s.id); ok {
			found = &line
		}
	}
	switch step := s.write.Read(object.version, object.config, found).(type) {
	case conf.Accepted:
		w.accept(s, step.Line.Revision)
	case conf.Build:
		w.build(t, s, object)
	case conf.Resend:
		w.send(t, s, object)
	}
}

func (w *world) build(t *rapid.T, s *seat, object kept) {
	var base *conf.Config
	switch conf.ChooseBasis(object.config, s.inForce, s.peers, s.silent) {
	case conf.Stored:
		base = object.config
	case conf.Own:
		base = s.inForce.RebaseOnto(object.config)
	case conf.Peers:
		for _, other := range w.seats {
			if base == nil || other.inForce.Revision > base.Revision {
				base = other.inForce
			}
		}
		if !base.Supersedes(s.inForce) {
			return
		}
		base = base.RebaseOnto(object.config)
	case conf.None:
		return
	}
	thing := rapid.SampledFrom([]string{"pool a", "pool b"}).Draw(t, "thing")
	if _, clash, complete := base.Conflict(thing, s.seen); clash || !complete || s.seen > base.Revision {
		w.end(s)
		return
	}
	s.sent = base.Clone()
	s.sent.Revision++
	s.sent.Record(conf.Line{ID: s.id, Revision: s.sent.Revision, Resource: thing})
	w.send(t, s, object)
}

// send lets a copy of the write take one of the ways that it can go.
func (w *world) send(t *rapid.T, s *seat, object kept) {
	out := copyOut{base: object.version, value: s.sent}
	switch rapid.SampledFrom([]string{"answered", "reply lost", "lost", "late", "never left"}).Draw(t, "way") {
	case "answered":
		if w.land(out) {
			w.accept(s, s.sent.Revision)
			return
		}
		s.write.Sent(out.base, object.config, fault.NotRun)
	case "reply lost":
		w.land(out)
		s.write.Sent(out.base, object.config, fault.MayHaveRun)
	case "lost":
		s.write.Sent(out.base, object.config, fault.MayHaveRun)
	case "late":
		w.flying = append(w.flying, out)
		s.write.Sent(out.base, object.config, fault.MayHaveRun)
	case "never left":
		s.write.Sent(out.base, object.config, fault.NotRun)
	}
}

func (w *world) land(out copyOut) bool {
	if out.base != w.store.version {
		return false
	}
	w.former = append(w.former, w.store)
	w.store = kept{version: w.store.version + 1, config: out.value}
	return true
}

func (w *world) landLate(t *rapid.T) {
	if len(w.flying) == 0 {
		t.Skip("none on the way")
	}
	at := rapid.IntRange(0, len(w.flying)-1).Draw(t, "copy")
	w.land(w.flying[at])
	w.flying = append(w.flying[:at:at], w.flying[at+1:]...)
}

func (w *world) accept(s *seat, revision uint64) {
	w.accepted[s.id] = revision
	s.busy = false
	if s.sent != nil {
		s.take(s.sent)
	}
}

// end gives a line up. It is refused unless it may have taken effect.
func (w *world) end(s *seat) {
	if !s.write.Uncertain() {
		w.refused[s.id] = 0
	}
	s.busy = false
}

func (w *world) giveUp(t *rapid.T) {
	s := w.pick(t)
	if !s.busy {
		t.Skip("idle")
	}
	w.end(s)
}

func (w *world) watch(t *rapid.T) {
	s := w.pick(t)
	s.take(w.store.config)
}

func (w *world) handOn(t *rapid.T) {
	to, from := w.pick(t), w.pick(t)
	to.take(from.inForce)
}

// restart has an entry host begin anew: it takes the newest of what the store
// and at least one other have, in any order.
func (w *world) restart(t *rapid.T) {
	s := w.pick(t)
	if s.busy {
		t.Skip("busy")
	}
	*s = seat{inForce: (*conf.Config)(nil).Clone()}
	early := rapid.Bool().Draw(t, "store first")
	if early {
		s.take(w.store.config)
	}
	asked := false
	for _, other := range w.seats {
		if other != s && (!asked || rapid.Bool().Draw(t, "answers")) {
			asked = true
			if other.inForce.SupersedesAtStart(s.inForce) {
				s.inForce = other.inForce
			}
		}
	}
	if !early {
		s.take(w.store.config)
	}
}

// confirm calls accepted lines done that are in force on every entry host.
func (w *world) confirm(*rapid.T) {
	for id, revision := range w.accepted {
		all := true
		for _, s := range w.seats {
			_, has := s.inForce.Find(id)
			all = all && has
		}
		if all {
			w.done[id] = revision
		}
	}
}

func (w *world) copyStore(t *rapid.T) {
	if !w.restores {
		t.Skip("no restores")
	}
	w.backup = w.store
}

// restore brings the store's copy back, its count of versions included, while
// no line is in progress.
func (w *world) restore(t *rapid.T) {
	for _, s := range w.seats {
		if s.busy || !w.restores {
			t.Skip("busy")
		}
	}
	w.store, w.former, w.flying = w.backup, []kept{w.backup}, nil
}

// check holds after every step.
func (w *world) check(t *rapid.T) {
	for _, s := range w.seats {
		if s.inForce.Revision < s.highest {
			t.Fatalf("revision %d went back to %d", s.highest, s.inForce.Revision)
		}
		s.highest = s.inForce.Revision
		for id := range w.done {
			if _, has := s.inForce.Find(id); !has {
				t.Fatalf("%s was done and is undone", id)
			}
		}
		for id, revision := range w.accepted {
			_, has := s.inForce.Find(id)
			if !has && !w.restores && s.inForce.Revision >= revision {
				t.Fatalf("%s of revision %d is undone at revision %d", id, revision, s.inForce.Revision)
			}
		}
		times := map[string]int{}
		for _, line := range s.inForce.History {
			times[line.ID]++
			if _, is := w.refused[line.ID]; is {
				t.Fatalf("%s was refused and is in force", line.ID)
			}
			if times[line.ID] > 1 {
				t.Fatalf("%s is in force twice", line.ID)
			}
		}
	}
}

func explore(t *testing.T, restores bool) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(restores)
		t.Repeat(map[string]func(*rapid.T){
			"begin": w.begin, "read": w.read, "read again": w.read, "land late": w.landLate,
			"give up": w.giveUp, "watch": w.watch, "hand on": w.handOn, "confirm": w.confirm,
			"restart": w.restart,
			"copy":    w.copyStore, "restore": w.restore, "": w.check,
		})
	})
}

// Seats write at once, replies and writes are lost or come late, and old
// copies answer. Were one answer wrong, a line that was refused would be in
// force, or one that was accepted would be undone.
func TestExploreWrites(t *testing.T) {
	explore(t, false)
}

// The same with a store that is restored from older copies: what was in force
// on every entry host stays.
func TestExploreRestores(t *testing.T) {
	explore(t, true)
}
