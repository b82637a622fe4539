package router

import "time"

// LinkBudget keeps account of an entry host's part of the link between failure
// domains. When the only holder of some layers in a domain dies, its answers
// could all go on through another domain, and new requests as well. Each moves
// the activations of its whole prompt there, and with many of them every chain
// that crosses would pause. So only the first few go; the rest wait until the
// layers are held at home again. The zero value is ready. It is not safe for
// concurrent use.
type LinkBudget struct {
	// free is when all that was taken has passed.
	free time.Time
}

// Reserve reserves a transfer, and reports whether it may begin now: the transfers
// reserved before it end within the given time. The hosts that share the link do not
// know each other's transfers, so each has an equal part of its rate.
func (p *LinkBudget) Reserve(transfer, queue time.Duration, hosts int, now time.Time) bool {
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Sub(now) > queue {
		return false
	}
	p.free = p.free.Add(transfer * time.Duration(max(hosts, 1)))
	return true
}
