package router

import "time"

// LinkBudget limits an entry host's use of the link between failure domains. When the
// only holder of some layers in a domain fails, all its responses in progress and all
// new requests could continue in another domain. Each moves the activations of its
// whole prompt there, and with many of them every chain that crosses the link would
// stall. So only the first few may cross; the others wait until the layers are held in
// the local domain again.
//
// The zero value is ready. It is not safe for concurrent use.
type LinkBudget struct {
	// freeAt is when all reserved transfers have finished.
	freeAt time.Time
}

// Reserve reserves a transfer and reports whether it may begin now: it may if the
// transfers reserved before it end within maxWait. The entry hosts that share the link
// do not know each other's transfers, so each uses an equal part of its rate.
func (b *LinkBudget) Reserve(transfer, maxWait time.Duration, hosts int, now time.Time) bool {
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	if b.freeAt.Sub(now) > maxWait {
		return false
	}
	b.freeAt = b.freeAt.Add(transfer * time.Duration(max(hosts, 1)))
	return true
}
