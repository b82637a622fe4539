package edge

import (
	"time"

	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/view"
)

// maxWaitAge is how long a server's last measured wait is used. When it is older,
// this entry host sends the server too few requests to know its load.
const maxWaitAge = 2 * time.Second

// waitMeter returns a function that returns the longest wait of tokens in a pool
// and whether it is known.
func (a *Admission) waitMeter(name string) func(time.Time) (float64, bool) {
	return func(now time.Time) (float64, bool) {
		snap := a.View.Load()
		if snap.Config == nil {
			return 0, false
		}
		p, found := snap.Config.Pools[name]
		if !found {
			return 0, false
		}
		return longestWait(snap, &p, now)
	}
}

// stageWait sums the weighted waits of the servers whose layers start at the same
// layer.
type stageWait struct {
	wait, weight float64
}

// longestWait returns the mean wait of tokens, in units of their run time, at the
// stage of the pool where it is longest, since that stage limits the pool. Each
// server is weighted by its speed, to which its number of tokens is proportional.
func longestWait(snap *view.Snapshot, p *pool.Pool, now time.Time) (float64, bool) {
	stages := map[int]stageWait{}
	for _, name := range p.Servers {
		m := snap.Meters[name]
		if m == nil {
			continue
		}
		wait, measuredAt := m.Wait()
		step := m.Step.Current()
		if step <= 0 || now.UnixNano()-measuredAt > int64(maxWaitAge) {
			continue
		}
		s := stages[snap.Hosts[name].First]
		weight := 1 / step.Seconds()
		s.wait += weight * float64(wait) / float64(step)
		s.weight += weight
		stages[snap.Hosts[name].First] = s
	}
	longest := 0.0
	for _, s := range stages {
		longest = max(longest, s.wait/s.weight)
	}
	return longest, len(stages) > 0
}
