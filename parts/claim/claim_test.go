package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

// start is the fixed time at which the tests run.
var start = time.UnixMilli(1_800_000_000_000)

// newTake returns a Take of the call with the given ID.
func newTake(id string, nonce uint64) Take {
	return Take{Record: Record{
		Key: KeyOf("cantata", id), Body: DigestOf("POST", "/booking", []byte(id)), Nonce: nonce,
		Holder: Holder{Entry: "e1", Incarnation: 7}, Until: start.Add(time.Hour).UnixMilli(),
	}}
}

// settleOf returns the Settle of a claimed call.
func settleOf(t Take) Settle {
	r := t.Record
	r.Done = start.UnixMilli()
	r.Outcome = &Outcome{Status: 200, Body: []byte("ok")}
	return Settle{Record: r}
}

// applyOne applies one op and returns its result.
func applyOne(s *Shard, op Op) OpResult {
	results, _ := s.Apply(start, []Op{op})
	return results[0]
}

func TestTakeAgain(t *testing.T) {
	first := newTake("seat", 1)
	other := first
	other.Record.Nonce, other.Record.Body = 2, DigestOf("POST", "/booking", nil)
	second := first
	second.Record.Nonce = 2
	replacing := second
	replacing.Replaces = 1
	for _, test := range []struct {
		name   string
		before []Op
		op     Op
		want   OpResult
	}{
		{"new", nil, first, Granted{}},
		{"same nonce", []Op{first}, first, Granted{}},
		{"resend", []Op{first}, second, Held{first.Record}},
		{"resend after the response", []Op{first, settleOf(first)}, second, Completed{settleOf(first).Record}},
		{"another body", []Op{first}, other, Reused{}},
		{"another body after the response", []Op{first, settleOf(first)}, other, Reused{}},
		{"replace a void claim", []Op{first}, replacing, Granted{}},
		{"replace a completed claim", []Op{first, settleOf(first)}, replacing, Completed{settleOf(first).Record}},
		{"resend after void", []Op{first, Void{first.Record.Key, 1}}, second, Granted{}},
		{"void after the response", []Op{first, settleOf(first), Void{first.Record.Key, 1}}, second, Completed{settleOf(first).Record}},
		{"void with another nonce", []Op{first, Void{first.Record.Key, 9}}, second, Held{first.Record}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Shard{}
			s.Apply(start, test.before)
			qt.Assert(t, applyOne(s, test.op), qt.DeepEquals, test.want)
		})
	}
}

func TestKeysOfDifferentTeams(t *testing.T) {
	qt.Assert(t, KeyOf("a", "bc"), qt.Not(qt.Equals), KeyOf("ab", "c"))
	qt.Assert(t, DigestOf("POST", "/a", []byte("b")), qt.Not(qt.Equals), DigestOf("POST", "/ab", nil))
}

func TestEncodeDecode(t *testing.T) {
	s := &Shard{}
	s.Apply(start, []Op{newTake("a", 1), newTake("b", 2), settleOf(newTake("a", 1))})
	value, err := s.Encode()
	qt.Assert(t, err, qt.IsNil)
	decoded, err := Decode(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded.records, qt.DeepEquals, s.records)
	qt.Assert(t, decoded.bytes, qt.Equals, s.bytes)
	qt.Assert(t, len(value) <= s.bytes, qt.IsTrue, qt.Commentf("%d bytes, estimate %d", len(value), s.bytes))
}

// A full shard refuses claims, and accepts them again once older ones have
// expired.
func TestFullShard(t *testing.T) {
	s := &Shard{bytes: MaxShardBytes - recordBytes}
	qt.Assert(t, applyOne(s, newTake("seat", 1)), qt.Equals, OpResult(Full{}))
	s.bytes = 0
	qt.Assert(t, applyOne(s, newTake("seat", 1)), qt.Equals, OpResult(Granted{}))
	s.Prune(start.Add(time.Hour))
	qt.Assert(t, s.Len(), qt.Equals, 0)
	qt.Assert(t, s.bytes, qt.Equals, 0)
}

func TestOutcomeTTL(t *testing.T) {
	s := &Shard{}
	s.Apply(start, []Op{newTake("seat", 1), settleOf(newTake("seat", 1))})
	s.Prune(start.Add(OutcomeTTL))
	r, found := s.Find(newTake("seat", 1).Record.Key)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, r.Outcome, qt.IsNil)
	qt.Assert(t, r.Done, qt.Equals, start.UnixMilli())
}

// Guards against a call that runs again after its claim expired: the host was
// suspended, or its wall clock set back, between claim and dispatch. Either
// clock alone would report the claim as fresh.
func TestFresh(t *testing.T) {
	now := time.Now()
	suspended := now.Round(0).Add(time.Hour)
	qt.Assert(t, Fresh(now, now.Add(time.Second), 2*time.Second), qt.IsTrue)
	qt.Assert(t, Fresh(now, now.Add(2*time.Second), 2*time.Second), qt.IsFalse)
	qt.Assert(t, Fresh(now, suspended, 2*time.Second), qt.IsFalse)
	qt.Assert(t, Age(now.Round(0), now.Add(time.Second)) >= time.Second, qt.IsTrue)
}

func TestTimingCheck(t *testing.T) {
	qt.Assert(t, Timing{MaxDeadline: time.Second, Expiry: 1000 * time.Second}.Check(), qt.IsNil)
	qt.Assert(t, Timing{MaxDeadline: time.Second, Expiry: 999 * time.Second}.Check(), qt.IsNotNil)
	qt.Assert(t, Timing{Expiry: 999 * time.Second}.Check(), qt.IsNotNil)
}

// The reply to a write is lost. Only reading the shard again tells whether
// the write took effect; in each case exactly one claim is granted.
func TestLostReply(t *testing.T) {
	lost := &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}
	mine, theirs := newTake("seat", 1), newTake("seat", 2)
	for _, test := range []struct {
		name  string
		after []Op
		want  OpResult
		write bool
	}{
		{"took effect", []Op{mine}, Granted{}, false},
		{"no effect, unchanged", nil, Granted{}, true},
		{"no effect, other write", []Op{newTake("other", 3)}, Granted{}, true},
		{"no effect, claimed by another", []Op{theirs}, Held{theirs.Record}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &Commit{Ops: []Op{mine}}
			qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
			c.OnRead(store.Object{}, nil)
			qt.Assert(t, c.Next(start), qt.Satisfies, func(s Step) bool { _, ok := s.(DoWrite); return ok })
			c.OnWrite(0, lost)
			qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
			c.OnRead(encodeOps(t, test.after), nil)
			step := c.Next(start)
			if test.write {
				qt.Assert(t, step.(DoWrite).Version, qt.Equals, uint64(len(test.after)))
				c.OnWrite(9, nil)
				step = c.Next(start)
			}
			qt.Assert(t, step, qt.DeepEquals, Step(Committed{[]OpResult{test.want}}))
		})
	}
}

// encodeOps returns the shard object after the given ops.
func encodeOps(t *testing.T, ops []Op) store.Object {
	s := &Shard{}
	s.Apply(start, ops)
	value, err := s.Encode()
	qt.Assert(t, err, qt.IsNil)
	return store.Object{Version: uint64(len(ops)), Value: value}
}

// Guards against calls that run twice: the store is restored from an older
// copy and loses claims. An entry host that has seen a newer version must
// refuse calls.
func TestStoreRollback(t *testing.T) {
	c := &Commit{Ops: []Op{newTake("seat", 1)}, HighestSeen: 5}
	c.OnRead(store.Object{Version: 4}, nil)
	failed, ok := c.Next(start).(Failed)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, failed.Err.Verdict, qt.Equals, fault.NotRun)
}

// A cached shard may be older than the writes of other entry hosts. A result
// that refuses a call is returned only after reading the shard again.
func TestStaleShard(t *testing.T) {
	first, second := newTake("seat", 1), newTake("seat", 2)
	cached := &Shard{}
	cached.Apply(start, []Op{first})
	c := &Commit{Shard: cached, Version: 1, HighestSeen: 1, Ops: []Op{second}}
	qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
	fresh := encodeOps(t, []Op{first, settleOf(first)})
	c.OnRead(fresh, nil)
	qt.Assert(t, c.Next(start), qt.DeepEquals, Step(Committed{[]OpResult{Completed{settleOf(first).Record}}}))
}

func TestTable(t *testing.T) {
	var table Table[string]
	key, body := KeyOf("t", "1"), Digest{1}
	first, own, replaced := table.Begin(key, body, 1, start)
	qt.Assert(t, own, qt.IsTrue)
	qt.Assert(t, replaced, qt.Equals, uint64(0))
	joined, own, _ := table.Begin(key, body, 2, start)
	qt.Assert(t, own, qt.IsFalse)
	qt.Assert(t, joined, qt.Equals, first)
	first.Finish("refused", true)
	qt.Assert(t, first.Start(), qt.IsFalse)
	second, own, replaced := table.Begin(key, body, 2, start)
	qt.Assert(t, own, qt.IsTrue)
	qt.Assert(t, replaced, qt.Equals, uint64(1))
	qt.Assert(t, second.Start(), qt.IsTrue)
	second.Finish("done", false)
	_, own, _ = table.Begin(key, body, 3, start)
	qt.Assert(t, own, qt.IsFalse)
	qt.Assert(t, table.RemoveExpired(start), qt.Equals, 1)
	qt.Assert(t, table.RemoveExpired(start.Add(1)), qt.Equals, 0)
}

// Other entry hosts write shard objects too. Any value must either be
// rejected or decode to a shard that survives a round trip.
func FuzzDecode(f *testing.F) {
	s := &Shard{}
	s.Apply(start, []Op{newTake("a", 1), newTake("b", 2), settleOf(newTake("a", 1))})
	value, err := s.Encode()
	qt.Assert(f, err, qt.IsNil)
	f.Add(value)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			return
		}
		encoded, err := s.Encode()
		qt.Assert(t, err, qt.IsNil)
		decoded, err := Decode(encoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded.records, qt.DeepEquals, s.records)
	})
}
