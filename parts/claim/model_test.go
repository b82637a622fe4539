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

// TestMain sets a fixed seed for the model test. To explore more sequences:
//
//	go test ./claim -run Explore -rapid.seed=0 -rapid.checks=100000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	modelDeadline = time.Second
	modelExpiry   = ExpiryFactor * time.Second
)

// model simulates entry hosts, the store and a backend server. Each action is
// one step of one entry host.
type model struct {
	t          *rapid.T
	now        time.Time
	version    uint64
	history    []store.Object
	lateWrites []DoWrite
	hosts      []*modelHost
	nonce      uint64
	tasks      []*modelTask
	runs       map[Key][]time.Time
}

// modelHost is one incarnation of an entry host.
type modelHost struct {
	holder     Holder
	table      *Table[string]
	lastCommit Commit
}

// modelTask is a commit of one op at one host, with the call that it belongs
// to.
type modelTask struct {
	host      *modelHost
	commit    *Commit
	flight    *Flight[string]
	take      *Take
	granted   bool
	claimedAt time.Time
	refused   bool
	runs      int
}

// object returns the current shard object.
func (m *model) object() store.Object { return m.history[len(m.history)-1] }

// store applies a conditional write.
func (m *model) store(write DoWrite) (uint64, error) {
	if m.object().Version != write.Version {
		return 0, &fault.Error{Code: fault.Conflict, Verdict: fault.NotRun}
	}
	m.version++
	m.history = append(m.history, store.Object{Version: m.version, Value: write.Value})
	return m.version, nil
}

var errLost = &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}

// write applies a write ("ok"), applies it but loses the reply ("drop"), loses
// the write itself ("lose"), delays it ("late"), or refuses it ("down").
func (m *model) write(c *Commit, write DoWrite) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "drop", "lose", "late", "down"}).Draw(m.t, "write") {
	case "ok":
		c.OnWrite(m.store(write))
	case "drop":
		_, _ = m.store(write)
		c.OnWrite(0, errLost)
	case "lose":
		c.OnWrite(0, errLost)
	case "late":
		m.lateWrites = append(m.lateWrites, write)
		c.OnWrite(0, errLost)
	case "down":
		c.OnWrite(0, &fault.Error{Code: fault.StoreDown, Verdict: fault.NotRun})
	}
}

// read returns the current object, the previous one, or an error.
func (m *model) read(c *Commit) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "old", "down"}).Draw(m.t, "read") {
	case "ok":
		c.OnRead(m.object(), nil)
	case "old":
		c.OnRead(m.history[max(0, len(m.history)-2)], nil)
	case "down":
		c.OnRead(store.Object{}, errors.New("down"))
	}
}

// submit sends or resends a call through a random host.
func (m *model) submit() {
	h := rapid.SampledFrom(m.hosts).Draw(m.t, "host")
	key := KeyOf("t", rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "id"))
	m.nonce++
	f, own, replaced := h.table.Begin(key, Digest{}, m.nonce, m.now.Add(modelExpiry))
	if own {
		m.startClaim(h, f, replaced)
	}
}

// startClaim starts the commit that claims the call of a flight.
func (m *model) startClaim(h *modelHost, f *Flight[string], replaces uint64) {
	t := &Take{Replaces: replaces, Record: Record{
		Key: f.Key, Nonce: f.Nonce, Holder: h.holder, Until: m.now.Add(modelExpiry).UnixMilli(),
	}}
	m.tasks = append(m.tasks, &modelTask{host: h, flight: f, take: t, claimedAt: m.now, commit: h.newCommit(*t)})
}

// newCommit returns a commit that starts from the cached shard of the host.
func (h *modelHost) newCommit(op Op) *Commit {
	c := h.lastCommit
	c.Ops = []Op{op}
	if c.Shard != nil {
		// Copy the shard, since a commit modifies it in place.
		value, _ := c.Shard.Encode()
		c.Shard, _ = Decode(value)
	}
	return &c
}

// step performs the next step of a random task.
func (m *model) step() {
	if len(m.tasks) == 0 {
		m.t.Skip()
	}
	task := rapid.SampledFrom(m.tasks).Draw(m.t, "task")
	if task.granted {
		m.dispatch(task)
		return
	}
	switch step := task.commit.Next(m.now).(type) {
	case DoRead:
		m.read(task.commit)
	case DoWrite:
		m.write(task.commit, step)
	case Failed:
		m.removeTask(task)
		if task.take != nil {
			m.release(task)
		}
	case Committed:
		task.host.lastCommit = Commit{Shard: task.commit.Shard, Version: task.commit.Version, HighestSeen: task.commit.HighestSeen}
		m.handleResult(task, step.Results[0])
	}
}

// handleResult continues a call after its commit has ended.
func (m *model) handleResult(task *modelTask, result OpResult) {
	switch result := result.(type) {
	case Granted:
		task.granted = true
	case Held:
		m.removeTask(task)
		m.queryHolder(task, result.Record)
	case Completed:
		m.removeTask(task)
		task.flight.Finish("ran", false)
		task.host.table.Forget(task.flight)
	case Recorded:
		m.removeTask(task)
		if task.flight != nil {
			task.host.table.Forget(task.flight)
		}
	case Reused, Full, Unknown:
		m.t.Fatalf("unexpected %T", result)
	}
}

// queryHolder queries the holder of a claim, which may be unreachable.
func (m *model) queryHolder(task *modelTask, r Record) {
	for _, h := range m.hosts {
		if h.holder != r.Holder || rapid.Bool().Draw(m.t, "unreachable") {
			continue
		}
		if f, ok := h.table.Find(r.Key, r.Nonce); ok && f.Phase() == NotSent {
			m.startClaim(task.host, task.flight, r.Nonce)
			return
		}
	}
	task.flight.Finish("may have run", false)
	task.host.table.Forget(task.flight)
}

// dispatch sends a granted call, unless its claim is no longer fresh.
func (m *model) dispatch(task *modelTask) {
	m.removeTask(task)
	if !Fresh(task.claimedAt, m.now, modelDeadline) || !task.flight.Start() {
		m.release(task)
		return
	}
	if rapid.Bool().Draw(m.t, "server refuses") {
		m.release(task)
		return
	}
	m.runs[task.flight.Key] = append(m.runs[task.flight.Key], m.now)
	task.runs++
	if rapid.Bool().Draw(m.t, "answer lost") {
		task.flight.Finish("may have run", false)
		task.host.table.Forget(task.flight)
		return
	}
	task.flight.Finish("ran", false)
	r := task.take.Record
	r.Done = m.now.UnixMilli()
	m.tasks = append(m.tasks, &modelTask{host: task.host, flight: task.flight, commit: task.host.newCommit(Settle{r})})
}

// release reports a call as not run and withdraws its claim.
func (m *model) release(task *modelTask) {
	task.refused = true
	task.flight.Finish("not run", true)
	m.tasks = append(m.tasks, &modelTask{host: task.host, commit: task.host.newCommit(Void{task.flight.Key, task.flight.Nonce})})
	if task.runs > 0 {
		m.t.Fatalf("call was reported as not run but has run")
	}
}

func (m *model) removeTask(task *modelTask) {
	for i, other := range m.tasks {
		if other == task {
			m.tasks = append(m.tasks[:i:i], m.tasks[i+1:]...)
			return
		}
	}
}

// timeOut lets the deadline of a call pass while its claim is being written.
func (m *model) timeOut() {
	for _, task := range m.tasks {
		if task.take != nil && rapid.Bool().Draw(m.t, "cancel this") {
			m.removeTask(task)
			m.release(task)
			return
		}
	}
	m.t.Skip()
}

// crash restarts a host, which loses its state. Its delayed writes may still
// be applied.
func (m *model) crash() {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
	old := m.hosts[i]
	var remaining []*modelTask
	for _, task := range m.tasks {
		if task.host != old {
			remaining = append(remaining, task)
		}
	}
	m.tasks = remaining
	holder := old.holder
	holder.Incarnation++
	m.hosts[i] = &modelHost{holder: holder, table: &Table[string]{}}
}

// deliverLate applies a delayed write.
func (m *model) deliverLate() {
	if len(m.lateWrites) == 0 {
		m.t.Skip()
	}
	i := rapid.IntRange(0, len(m.lateWrites)-1).Draw(m.t, "late write")
	_, _ = m.store(m.lateWrites[i])
	m.lateWrites = append(m.lateWrites[:i:i], m.lateWrites[i+1:]...)
}

// advanceClock lets time pass and removes expired flights from the tables.
func (m *model) advanceClock() {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		modelDeadline / 4, modelDeadline, modelExpiry / 2, modelExpiry,
	}).Draw(m.t, "time"))
	for _, h := range m.hosts {
		h.table.RemoveExpired(m.now)
	}
}

// check fails if a call ran again before its claim had expired.
func (m *model) check() {
	for key, runs := range m.runs {
		for i := 1; i < len(runs); i++ {
			if gap := runs[i].Sub(runs[i-1]); gap <= modelExpiry-modelDeadline {
				m.t.Fatalf("call %x ran twice, %s apart", key, gap)
			}
		}
	}
}

// Guards against a call that runs twice: callers send the same calls through
// several entry hosts while store replies are lost, writes are delayed, reads
// are stale, and entry hosts pause and restart.
func TestExploreClaims(t *testing.T) {
	var maxRuns int
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: start, history: []store.Object{{}}, runs: map[Key][]time.Time{}}
		for i := range 3 {
			m.hosts = append(m.hosts, &modelHost{holder: Holder{Entry: fmt.Sprintf("e%d", i)}, table: &Table[string]{}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(t *rapid.T) { m.t = t; m.submit() },
			"advance":  func(t *rapid.T) { m.t = t; m.step() },
			"advance2": func(t *rapid.T) { m.t = t; m.step() },
			"advance3": func(t *rapid.T) { m.t = t; m.step() },
			"abandon":  func(t *rapid.T) { m.t = t; m.timeOut() },
			"crash":    func(t *rapid.T) { m.t = t; m.crash() },
			"late":     func(t *rapid.T) { m.t = t; m.deliverLate() },
			"time":     func(t *rapid.T) { m.t = t; m.advanceClock() },
			"":         func(t *rapid.T) { m.t = t; m.check() },
		})
		for _, runs := range m.runs {
			maxRuns = max(maxRuns, len(runs))
		}
	})
	if maxRuns == 0 {
		t.Fatal("no call ran in any generated sequence, so nothing was checked")
	}
}
