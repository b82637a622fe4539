package hops

import "time"

// pipeQueue bounds how long the answers that one entry host leads across
// failure domains may wait for each other on the link between them. When the
// only holder of some layers in a domain dies, its 60 answers could all go on
// through another domain, and each moves the activations of its whole prompt
// there, 19 ms of the link that all share: all callers would wait for over a
// second, the other domain's as well. With this bound the first few notice
// nothing, since a pause of 200 ms is none to them, and the rest wait until
// the layers are held at home again, which takes half a second to a second.
const pipeQueue = 100 * time.Millisecond

// Pipe keeps account of the link between failure domains. The zero value is
// ready. It is not safe for concurrent use.
type Pipe struct {
	// free is when all that was taken has passed.
	free time.Time
}

// Take books a transfer, and reports whether it may begin now.
func (p *Pipe) Take(transfer time.Duration, now time.Time) bool {
	if p.free.Before(now) {
		p.free = now
	}
	if p.free.Add(transfer).Sub(now) > pipeQueue {
		return false
	}
	p.free = p.free.Add(transfer)
	return true
}
