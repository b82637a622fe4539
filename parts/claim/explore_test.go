package claim

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// TestMain fixes the seed of the explorations. For more of them:
//
//	go test ./claim -run Explore -rapid.seed=0 -rapid.checks=100000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	worldDeadline = time.Second
	worldExpiry   = ExpiryFactor * time.Second
)

// world is a model of entry hosts, the store and a backend server, in which
// each step of each entry host is one action.
type world struct {
	t       *rapid.T
	now     time.Time
	version uint64
	history []store.Object
	flying  []DoWrite
	nodes   []*node
	nonce   uint64
	tasks   []*task
	ran     map[Key][]time.Time
}

// node is an entry host in one incarnation.
type node struct {
	holder Holder
	table  *Table[string]
	kept   Commit
}

// task is a batch of one op at one node, and what hangs on it.
type task struct {
	node    *node
	commit  *Commit
	flight  *Flight[string]
	take    *Take
	granted bool
	claimed time.Time
	refused bool
	runs    int
}

func (w *world) object() store.Object { return w.history[len(w.history)-1] }

func (w *world) land(write DoWrite) (uint64, error) {
	if w.object().Version != write.Version {
		return 0, &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
	}
	w.version++
	w.history = append(w.history, store.Object{Version: w.version, Value: write.Value})
	return w.version, nil
}

var errLost = &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}

// write lets a write land, get lost, lose its reply, or come late.
func (w *world) write(c *Commit, write DoWrite) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "drop", "lose", "late", "down"}).Draw(w.t, "write") {
	case "ok":
		c.Wrote(w.land(write))
	case "drop":
		_, _ = w.land(write)
		c.Wrote(0, errLost)
	case "lose":
		c.Wrote(0, errLost)
	case "late":
		w.flying = append(w.flying, write)
		c.Wrote(0, errLost)
	case "down":
		c.Wrote(0, &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun})
	}
}

// read answers with the newest value, an older one, or not at all.
func (w *world) read(c *Commit) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "old", "down"}).Draw(w.t, "read") {
	case "ok":
		c.Read(w.object(), nil)
	case "old":
		c.Read(w.history[max(0, len(w.history)-2)], nil)
	case "down":
		c.Read(store.Object{}, errors.New("down"))
	}
}

// submit is a caller that sends a call, or sends it again.
func (w *world) submit() {
	n := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	key := KeyOf("t", rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "id"))
	w.nonce++
	f, own, over := n.table.Begin(key, Digest{}, w.nonce, w.now.Add(worldExpiry))
	if own {
		w.claim(n, f, over)
	}
}

func (w *world) claim(n *node, f *Flight[string], over uint64) {
	t := &Take{Replaces: over, Record: Record{
		Key: f.Key, Nonce: f.Nonce, Holder: n.holder, Until: w.now.Add(worldExpiry).UnixMilli(),
	}}
	w.tasks = append(w.tasks, &task{node: n, flight: f, take: t, claimed: w.now, commit: n.begin(*t)})
}

func (n *node) begin(op Op) *Commit {
	c := n.kept
	c.Ops = []Op{op}
	if c.Shard != nil {
		// Two commits must not share a shard that they change in place.
		value, _ := c.Shard.Encode()
		c.Shard, _ = Decode(value)
	}
	return &c
}

// advance takes one step of one task.
func (w *world) advance() {
	if len(w.tasks) == 0 {
		w.t.Skip()
	}
	k := rapid.SampledFrom(w.tasks).Draw(w.t, "task")
	if k.granted {
		w.dispatch(k)
		return
	}
	switch step := k.commit.Next(w.now).(type) {
	case DoRead:
		w.read(k.commit)
	case DoWrite:
		w.write(k.commit, step)
	case Failed:
		w.drop(k)
		if k.take != nil {
			w.forsake(k)
		}
	case Committed:
		k.node.kept = Commit{Shard: k.commit.Shard, Version: k.commit.Version, Seen: k.commit.Seen}
		w.settled(k, step.Findings[0])
	}
}

func (w *world) settled(k *task, found OpResult) {
	switch found := found.(type) {
	case Granted:
		k.granted = true
	case Held:
		w.drop(k)
		w.held(k, found.Record)
	case Completed:
		w.drop(k)
		k.flight.Finish("ran", false)
		k.node.table.Forget(k.flight)
	case Recorded:
		w.drop(k)
		if k.flight != nil {
			k.node.table.Forget(k.flight)
		}
	case Reused, Full, Unknown:
		w.t.Fatalf("unexpected %T", found)
	}
}

// held asks the holder of a claim, which may be cut off.
func (w *world) held(k *task, r Record) {
	for _, n := range w.nodes {
		if n.holder != r.Holder || rapid.Bool().Draw(w.t, "cut") {
			continue
		}
		if f, ok := n.table.Find(r.Key, r.Nonce); ok && f.Phase() == NotSent {
			w.claim(k.node, k.flight, r.Nonce)
			return
		}
	}
	k.flight.Finish("may have run", false)
	k.node.table.Forget(k.flight)
}

// dispatch sends a granted call, unless its holder was paused too long.
func (w *world) dispatch(k *task) {
	w.drop(k)
	if !Fresh(k.claimed, w.now, worldDeadline) || !k.flight.Start() {
		w.forsake(k)
		return
	}
	if rapid.Bool().Draw(w.t, "server refuses") {
		w.forsake(k)
		return
	}
	w.ran[k.flight.Key] = append(w.ran[k.flight.Key], w.now)
	k.runs++
	if rapid.Bool().Draw(w.t, "answer lost") {
		k.flight.Finish("may have run", false)
		k.node.table.Forget(k.flight)
		return
	}
	k.flight.Finish("ran", false)
	r := k.take.Record
	r.Done = w.now.UnixMilli()
	w.tasks = append(w.tasks, &task{node: k.node, flight: k.flight, commit: k.node.begin(Settle{r})})
}

// forsake answers a call as not run.
func (w *world) forsake(k *task) {
	k.refused = true
	k.flight.Finish("not run", true)
	w.tasks = append(w.tasks, &task{node: k.node, commit: k.node.begin(Void{k.flight.Key, k.flight.Nonce})})
	if k.runs > 0 {
		w.t.Fatalf("a call that was answered as not run has run")
	}
}

func (w *world) drop(k *task) {
	for i, other := range w.tasks {
		if other == k {
			w.tasks = append(w.tasks[:i:i], w.tasks[i+1:]...)
			return
		}
	}
}

// abandon is a caller's deadline that ends before its claim is written.
func (w *world) abandon() {
	for _, k := range w.tasks {
		if k.take != nil && rapid.Bool().Draw(w.t, "this") {
			w.drop(k)
			w.forsake(k)
			return
		}
	}
	w.t.Skip()
}

// crash loses all that a node remembers; what it wrote may still land.
func (w *world) crash() {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")
	old := w.nodes[i]
	var left []*task
	for _, k := range w.tasks {
		if k.node != old {
			left = append(left, k)
		}
	}
	w.tasks = left
	holder := old.holder
	holder.Incarnation++
	w.nodes[i] = &node{holder: holder, table: &Table[string]{}}
}

func (w *world) landLate() {
	if len(w.flying) == 0 {
		w.t.Skip()
	}
	i := rapid.IntRange(0, len(w.flying)-1).Draw(w.t, "late write")
	_, _ = w.land(w.flying[i])
	w.flying = append(w.flying[:i:i], w.flying[i+1:]...)
}

func (w *world) pass() {
	w.now = w.now.Add(rapid.SampledFrom([]time.Duration{
		worldDeadline / 4, worldDeadline, worldExpiry / 2, worldExpiry,
	}).Draw(w.t, "time"))
	for _, n := range w.nodes {
		n.table.Sweep(w.now)
	}
}

// check is the property: a call runs again only when its claim has expired.
func (w *world) check() {
	for key, runs := range w.ran {
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].Sub(runs[i-1]); gap <= worldExpiry-worldDeadline {
				w.t.Fatalf("call %x ran twice, %s apart", key, gap)
			}
		}
	}
}

// Callers send the same calls through several entry hosts at once while
// replies of the store are lost, writes land late, reads are stale, and entry
// hosts pause and restart. A devotee would notice a seat that was paid twice.
func TestExploreClaims(t *testing.T) {
	var most int
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, history: []store.Object{{}}, ran: map[Key][]time.Time{}}
		for i := range 3 {
			w.nodes = append(w.nodes, &node{holder: Holder{Entry: fmt.Sprintf("e%d", i)}, table: &Table[string]{}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(t *rapid.T) { w.t = t; w.submit() },
			"advance":  func(t *rapid.T) { w.t = t; w.advance() },
			"advance2": func(t *rapid.T) { w.t = t; w.advance() },
			"advance3": func(t *rapid.T) { w.t = t; w.advance() },
			"abandon":  func(t *rapid.T) { w.t = t; w.abandon() },
			"crash":    func(t *rapid.T) { w.t = t; w.crash() },
			"late":     func(t *rapid.T) { w.t = t; w.landLate() },
			"time":     func(t *rapid.T) { w.t = t; w.pass() },
			"":         func(t *rapid.T) { w.t = t; w.check() },
		})
		for _, runs := range w.ran {
			most = max(most, len(runs))
		}
	})
	if most == 0 {
		t.Fatal("no call ran in any exploration: it proves nothing")
	}
}
