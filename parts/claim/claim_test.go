package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/store"
)

var start = time.UnixMilli(1_800_000_000_000)

func take(id string, nonce uint64) Take {
	return Take{Record: Record{
		Key: KeyOf("cantata", id), Body: DigestOf("POST", "/booking", []byte(id)), Nonce: nonce,
		Holder: Holder{Entry: "e1", Incarnation: 7}, Until: start.Add(time.Hour).UnixMilli(),
	}}
}

func done(t Take) Settle {
	r := t.Record
	r.Done = start.UnixMilli()
	r.Outcome = &Outcome{Status: 200, Body: []byte("ok")}
	return Settle{Record: r}
}

func apply(s *Shard, op Op) OpResult {
	findings, _ := s.Apply(start, []Op{op})
	return findings[0]
}

func TestResends(t *testing.T) {
	first := take("seat", 1)
	other := first
	other.Record.Nonce, other.Record.Body = 2, DigestOf("POST", "/booking", nil)
	second := first
	second.Record.Nonce = 2
	over := second
	over.Replaces = 1
	for _, test := range []struct {
		name   string
		before []Op
		op     Op
		want   OpResult
	}{
		{"new", nil, first, Granted{}},
		{"same nonce", []Op{first}, first, Granted{}},
		{"resend", []Op{first}, second, Held{first.Record}},
		{"resend after the answer", []Op{first, done(first)}, second, Completed{done(first).Record}},
		{"another body", []Op{first}, other, Reused{}},
		{"another body after the answer", []Op{first, done(first)}, other, Reused{}},
		{"over a void claim", []Op{first}, over, Granted{}},
		{"over one that was answered", []Op{first, done(first)}, over, Completed{done(first).Record}},
		{"after it was taken back", []Op{first, Void{first.Record.Key, 1}}, second, Granted{}},
		{"taken back too late", []Op{first, done(first), Void{first.Record.Key, 1}}, second, Completed{done(first).Record}},
		{"another's claim taken back", []Op{first, Void{first.Record.Key, 9}}, second, Held{first.Record}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &Shard{}
			s.Apply(start, test.before)
			qt.Assert(t, apply(s, test.op), qt.DeepEquals, test.want)
		})
	}
}

func TestTeamsApart(t *testing.T) {
	qt.Assert(t, KeyOf("a", "bc"), qt.Not(qt.Equals), KeyOf("ab", "c"))
	qt.Assert(t, DigestOf("POST", "/a", []byte("b")), qt.Not(qt.Equals), DigestOf("POST", "/ab", nil))
}

func TestEncodeDecode(t *testing.T) {
	s := &Shard{}
	s.Apply(start, []Op{take("a", 1), take("b", 2), done(take("a", 1))})
	value, err := s.Encode()
	qt.Assert(t, err, qt.IsNil)
	again, err := Decode(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again.records, qt.DeepEquals, s.records)
	qt.Assert(t, again.bytes, qt.Equals, s.bytes)
	qt.Assert(t, len(value) <= s.bytes, qt.IsTrue, qt.Commentf("%d bytes, estimate %d", len(value), s.bytes))
}

// A shard that has no room refuses claims, and takes them again when older
// ones have expired.
func TestFullShard(t *testing.T) {
	s := &Shard{bytes: MaxShardBytes - recordBytes}
	qt.Assert(t, apply(s, take("seat", 1)), qt.Equals, OpResult(Full{}))
	s.bytes = 0
	qt.Assert(t, apply(s, take("seat", 1)), qt.Equals, OpResult(Granted{}))
	s.Prune(start.Add(time.Hour))
	qt.Assert(t, s.Len(), qt.Equals, 0)
	qt.Assert(t, s.bytes, qt.Equals, 0)
}

func TestOutcomeKept(t *testing.T) {
	s := &Shard{}
	s.Apply(start, []Op{take("seat", 1), done(take("seat", 1))})
	s.Prune(start.Add(OutcomeTTL))
	r, found := s.Find(take("seat", 1).Record.Key)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, r.Outcome, qt.IsNil)
	qt.Assert(t, r.Done, qt.Equals, start.UnixMilli())
}

// The host of a holder is suspended, or its wall clock is set back, between
// claim and dispatch. Either clock alone would call the claim fresh, and the
// call could run a second time after its claim expired.
func TestFresh(t *testing.T) {
	now := time.Now()
	suspended := now.Round(0).Add(time.Hour)
	qt.Assert(t, Fresh(now, now.Add(time.Second), 2*time.Second), qt.IsTrue)
	qt.Assert(t, Fresh(now, now.Add(2*time.Second), 2*time.Second), qt.IsFalse)
	qt.Assert(t, Fresh(now, suspended, 2*time.Second), qt.IsFalse)
	qt.Assert(t, Age(now.Round(0), now.Add(time.Second)) >= time.Second, qt.IsTrue)
}

func TestTerms(t *testing.T) {
	qt.Assert(t, Timing{MaxDeadline: time.Second, Expiry: 1000 * time.Second}.Check(), qt.IsNil)
	qt.Assert(t, Timing{MaxDeadline: time.Second, Expiry: 999 * time.Second}.Check(), qt.IsNotNil)
	qt.Assert(t, Timing{Expiry: 999 * time.Second}.Check(), qt.IsNotNil)
}

// A reply to a write is lost. Whether the write took effect can only be
// learned by reading the shard again, and in each case exactly one claim is
// granted.
func TestLostReply(t *testing.T) {
	lost := &fault.Error{Code: fault.StoreDown, Verdict: fault.MayHaveRun}
	mine, theirs := take("seat", 1), take("seat", 2)
	for _, test := range []struct {
		name  string
		after []Op
		want  OpResult
		write bool
	}{
		{"took effect", []Op{mine}, Granted{}, false},
		{"did not, unchanged", nil, Granted{}, true},
		{"did not, moved", []Op{take("other", 3)}, Granted{}, true},
		{"did not, claimed by another", []Op{theirs}, Held{theirs.Record}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &Commit{Ops: []Op{mine}}
			qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
			c.Read(store.Object{}, nil)
			qt.Assert(t, c.Next(start), qt.Satisfies, func(s Step) bool { _, ok := s.(DoWrite); return ok })
			c.Wrote(0, lost)
			qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
			c.Read(object(t, test.after), nil)
			step := c.Next(start)
			if test.write {
				qt.Assert(t, step.(DoWrite).Version, qt.Equals, uint64(len(test.after)))
				c.Wrote(9, nil)
				step = c.Next(start)
			}
			qt.Assert(t, step, qt.DeepEquals, Step(Committed{[]OpResult{test.want}}))
		})
	}
}

func object(t *testing.T, ops []Op) store.Object {
	s := &Shard{}
	s.Apply(start, ops)
	value, err := s.Encode()
	qt.Assert(t, err, qt.IsNil)
	return store.Object{Version: uint64(len(ops)), Value: value}
}

// The platform restores its store from an older copy, and the claims since
// are gone. An entry host that has seen a newer version refuses calls; if it
// did not, a caller's resend would run again.
func TestStoreWentBack(t *testing.T) {
	c := &Commit{Ops: []Op{take("seat", 1)}, Seen: 5}
	c.Read(store.Object{Version: 4}, nil)
	failed, ok := c.Next(start).(Failed)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, failed.Err.Verdict, qt.Equals, fault.NotRun)
}

// A shard kept since its last write may be older than what others wrote. A
// finding that refuses a call is only given after reading again.
func TestStaleShard(t *testing.T) {
	first, second := take("seat", 1), take("seat", 2)
	kept := &Shard{}
	kept.Apply(start, []Op{first})
	c := &Commit{Shard: kept, Version: 1, Seen: 1, Ops: []Op{second}}
	qt.Assert(t, c.Next(start), qt.Equals, Step(DoRead{}))
	o := object(t, []Op{first, done(first)})
	c.Read(o, nil)
	qt.Assert(t, c.Next(start), qt.DeepEquals, Step(Committed{[]OpResult{Completed{done(first).Record}}}))
}

func TestTable(t *testing.T) {
	var table Table[string]
	key, body := KeyOf("t", "1"), Digest{1}
	first, own, over := table.Begin(key, body, 1, start)
	qt.Assert(t, own, qt.IsTrue)
	qt.Assert(t, over, qt.Equals, uint64(0))
	joined, own, _ := table.Begin(key, body, 2, start)
	qt.Assert(t, own, qt.IsFalse)
	qt.Assert(t, joined, qt.Equals, first)
	first.Finish("refused", true)
	qt.Assert(t, first.Start(), qt.IsFalse)
	second, own, over := table.Begin(key, body, 2, start)
	qt.Assert(t, own, qt.IsTrue)
	qt.Assert(t, over, qt.Equals, uint64(1))
	qt.Assert(t, second.Start(), qt.IsTrue)
	second.Finish("done", false)
	_, own, _ = table.Begin(key, body, 3, start)
	qt.Assert(t, own, qt.IsFalse)
	qt.Assert(t, table.Sweep(start), qt.Equals, 1)
	qt.Assert(t, table.Sweep(start.Add(1)), qt.Equals, 0)
}

// A shard's object comes from the store, which others write too. Whatever it
// holds, reading it fails cleanly or gives a shard that reads back the same.
func FuzzDecode(f *testing.F) {
	s := &Shard{}
	s.Apply(start, []Op{take("a", 1), take("b", 2), done(take("a", 1))})
	value, err := s.Encode()
	qt.Assert(f, err, qt.IsNil)
	f.Add(value)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			return
		}
		again, err := s.Encode()
		qt.Assert(t, err, qt.IsNil)
		same, err := Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, same.records, qt.DeepEquals, s.records)
	})
}
