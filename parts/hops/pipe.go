package hops

import "time"

// pipeQueue bounds how long the requests that one entry host sends across
// failure domains may wait for each other on the link between them. When the
// only holder of some layers in a domain dies, its 60 answers could all go on
// through another domain, and new requests as well. Each moves the activations
// of its whole prompt there, 19 ms of the link that all share: with 40 of them a
// second the link was taken to two thirds, and every chain that crossed paused
// for 200 to 300 ms. With this bound the first few notice nothing, since a pause
// of 200 ms is none to them, and the rest wait until the layers are held at home
// again, which takes half a second to a second.
const pipeQueue = 100 * time.Millisecond

// Pipe keeps account of an entry host's part of the link between failure
// domains. The zero value is ready. It is not safe for concurrent use.
type Pipe struct {
	// free is when all that was taken has passed.
	free time.Time
}

// Take books a transfer, and reports whether it may begin now. The hosts that
// share the link are told nothing of each other's transfers, so each has an
// equal part of its rate.
func (p *Pipe) Take(transfer time.Duration, hosts int, now time.Time) bool {
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Sub(now) > pipeQueue {
		return false
	}
	p.free = p.free.Add(transfer * time.Duration(max(hosts, 1)))
	return true
}
