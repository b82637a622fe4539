package claim

import "time"

// Op is a change to one record: a Take, a Settle or a Void.
type Op interface {
	op()
	key() Key
}

// Take claims a call.
type Take struct {
	// Record is the record to be written; it is not done.
	Record Record
	// Replaces is the nonce of a void claim that this one may replace; zero for
	// none.
	Replaces uint64
}

// Settle records that a claimed call has been answered.
type Settle struct {
	// Record is the claim with the time and, if it is small, the answer. It
	// is written whole, so that a store that lost the claim has it again.
	Record Record
}

// Void takes a claim back whose call was never sent and never will be.
type Void struct {
	Key   Key
	Nonce uint64
}

func (Take) op()   {}
func (Settle) op() {}
func (Void) op()   {}

func (t Take) key() Key   { return t.Record.Key }
func (s Settle) key() Key { return s.Record.Key }
func (v Void) key() Key   { return v.Key }

// OpResult is what came of an Op: Granted, Held, Ended, Reused, Full or Unknown
// for a Take, and Noted for the others.
type OpResult interface{ finding() }

// Granted means that the claim is in the store: its holder, and nobody else,
// may send the call.
type Granted struct{}

// Held means that the call is claimed and not known to be answered.
type Held struct{ Record Record }

// Completed means that the call was answered before.
type Completed struct{ Record Record }

// Reused means that the id belongs to another call.
type Reused struct{}

// Full means that the shard has no room for another claim.
type Full struct{}

// Unknown means that a write of the claim may be in the store, or may land
// later. The call is not sent.
type Unknown struct{}

// Recorded means that a Settle or Void is in the store, or that there is no
// such claim any more.
type Recorded struct{}

func (Granted) finding()   {}
func (Held) finding()      {}
func (Completed) finding() {}
func (Reused) finding()    {}
func (Full) finding()      {}
func (Unknown) finding()   {}
func (Recorded) finding()  {}

// Apply makes changes to the shard and returns what came of each, and
// whether the shard has changed. An op that is in the shard already changes
// nothing and is found again, so that applying it after a lost reply tells
// whether it took effect.
func (s *Shard) Apply(now time.Time, ops []Op) ([]OpResult, bool) {
	s.Prune(now)
	findings := make([]OpResult, len(ops))
	changed := false
	for i, op := range ops {
		did := false
		switch op := op.(type) {
		case Take:
			findings[i], did = s.take(op)
		case Settle:
			findings[i], did = Recorded{}, s.settle(op)
		case Void:
			findings[i], did = Recorded{}, s.void(op)
		}
		changed = changed || did
	}
	return findings, changed
}

func (s *Shard) take(t Take) (OpResult, bool) {
	old, found := s.records[t.Record.Key]
	switch {
	case !found:
	case old.Nonce == t.Record.Nonce:
		return Granted{}, false
	case old.Body != t.Record.Body:
		return Reused{}, false
	case old.Done != 0:
		return Completed{old}, false
	case t.Replaces == 0 || old.Nonce != t.Replaces:
		return Held{old}, false
	}
	if !found && s.bytes+t.Record.size() > MaxShardBytes {
		return Full{}, false
	}
	s.put(t.Record)
	return Granted{}, true
}

func (s *Shard) settle(o Settle) bool {
	r, found := s.records[o.Record.Key]
	if found && (r.Nonce != o.Record.Nonce || r.Done != 0) {
		return false
	}
	r = o.Record
	// Without room for the outcome the record still says that the call ran.
	if s.bytes+r.size() > MaxShardBytes {
		r.Outcome = nil
	}
	s.put(r)
	return true
}

func (s *Shard) void(v Void) bool {
	r, found := s.records[v.Key]
	if !found || r.Nonce != v.Nonce || r.Done != 0 {
		return false
	}
	s.remove(v.Key)
	return true
}
