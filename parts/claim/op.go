package claim

import "time"

// Op is a change of one record: a Take, a Settle or a Void.
type Op interface {
	op()
	key() Key
}

// Take claims a call.
type Take struct {
	// Record is the record to write. Its Done is zero.
	Record Record
	// Replaces is the nonce of a void claim that this claim may replace; zero
	// for none.
	Replaces uint64
}

// Settle records that the response to a claimed call has arrived.
type Settle struct {
	// Record is the claim with Done and, if the response is small, Outcome. It
	// is written as a whole, so that a store that lost the claim gets it back.
	Record Record
}

// Void withdraws the claim of a call that no backend server ran and that its
// holder will not send again.
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

// OpResult is the result of an Op: Granted, Held, Completed, Reused, Full or
// Unknown for a Take, and Recorded for the others.
type OpResult interface{ opResult() }

// Granted means that the claim is in the store. Its holder, and no other
// entry host, may send the call.
type Granted struct{}

// Held means that the call is claimed and has no recorded response.
type Held struct{ Record Record }

// Completed means that the response to the call arrived earlier.
type Completed struct{ Record Record }

// Reused means that the ID belongs to a call with different content.
type Reused struct{}

// Full means that the shard has no room for another claim.
type Full struct{}

// Unknown means that a write of the claim may have taken effect or may still
// do so. The call must not be sent.
type Unknown struct{}

// Recorded means that a Settle or Void is in the store, or that the claim no
// longer exists.
type Recorded struct{}

func (Granted) opResult()   {}
func (Held) opResult()      {}
func (Completed) opResult() {}
func (Reused) opResult()    {}
func (Full) opResult()      {}
func (Unknown) opResult()   {}
func (Recorded) opResult()  {}

// Apply applies ops to the shard. It returns the result of each op and
// whether the shard changed. Applying an op again changes nothing and returns
// the same result, so that repeating it after a lost reply shows whether the
// write took effect.
func (s *Shard) Apply(now time.Time, ops []Op) ([]OpResult, bool) {
	s.Prune(now)
	results := make([]OpResult, len(ops))
	changed := false
	for i, op := range ops {
		opChanged := false
		switch op := op.(type) {
		case Take:
			results[i], opChanged = s.take(op)
		case Settle:
			results[i], opChanged = Recorded{}, s.settle(op)
		case Void:
			results[i], opChanged = Recorded{}, s.void(op)
		}
		changed = changed || opChanged
	}
	return results, changed
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

func (s *Shard) settle(op Settle) bool {
	r, found := s.records[op.Record.Key]
	if found && (r.Nonce != op.Record.Nonce || r.Done != 0) {
		return false
	}
	r = op.Record
	// If there is no room for the outcome, record only that the call ran.
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
