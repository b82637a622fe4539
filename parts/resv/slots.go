package resv

import (
	"math/bits"
	"time"
)

const (
	slot = 100 * time.Millisecond
	// horizon is the number of slots that are kept. It covers maxDelay and the slot in progress.
	horizon = 64
)

// slots counts the promises of this host for a service by the time at which they are due. Those of other hosts are
// not counted: each host promises a share of what it serves itself, and callers are spread over hosts.
type slots [horizon]struct {
	index int64
	n     uint32
}

// count returns how many promises a slot holds.
func (s *slots) count(index int64) uint32 {
	if c := s[index%horizon]; c.index == index {
		return c.n
	}
	return 0
}

// add counts a promise for a slot, and returns how many it held before.
func (s *slots) add(index int64) uint32 {
	before := s.count(index)
	s[index%horizon].index, s[index%horizon].n = index, before+1
	return before
}

// take chooses the time of a promise and counts it: the first slot from `from` to latest that has room, or
// the least full one from earliest to latest if none has.
func (s *slots) take(earliest, from, latest time.Duration, perSlot float64) time.Duration {
	first, last := slotAfter(earliest), int64(latest/slot)-1
	if first > last {
		// No whole slot lies between the two.
		return earliest + spread(s.add(int64(earliest/slot)), latest-earliest)
	}
	chosen, ok := s.firstFree(slotAfter(from), last, perSlot)
	if !ok {
		chosen = s.leastFull(first, last)
	}
	return time.Duration(chosen)*slot + spread(s.add(chosen), slot)
}

// slotAfter returns the first slot that begins at a time or later.
func slotAfter(at time.Duration) int64 { return int64((at + slot - 1) / slot) }

// firstFree returns the first slot that has room.
func (s *slots) firstFree(first, last int64, perSlot float64) (index int64, ok bool) {
	for i := first; i <= last; i++ {
		if s.count(i) < room(i, perSlot) {
			return i, true
		}
	}
	return 0, false
}

// leastFull returns the slot with the fewest promises, the last of several: requests that wait already
// need the capacity of the first ones.
func (s *slots) leastFull(first, last int64) int64 {
	best := first
	for i := first + 1; i <= last; i++ {
		if s.count(i) <= s.count(best) {
			best = i
		}
	}
	return best
}

// room returns how many promises a slot may hold, so that slots hold perSlot on average. Which slots hold
// one more than others does not change with small changes of perSlot.
func room(index int64, perSlot float64) uint32 {
	whole := uint32(perSlot)
	if radicalInverse(uint32(index)) < perSlot-float64(whole) {
		whole++
	}
	return whole
}

// spread returns the offset of the n-th promise in a period.
func spread(n uint32, period time.Duration) time.Duration {
	return time.Duration(radicalInverse(n) * float64(period))
}

// radicalInverse returns the n-th number of the van der Corput sequence: 0, 1/2, 1/4, 3/4, 1/8 and so on.
// Any number of its first elements are spread evenly over [0, 1).
func radicalInverse(n uint32) float64 {
	return float64(bits.Reverse32(n)) / (1 << 32)
}
