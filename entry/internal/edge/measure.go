package edge

import (
	"time"

	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/view"
)

// measureFor is how long a server's last figure counts. Beyond it this entry
// sends the server too little to know.
const measureFor = 2 * time.Second

// measure returns the function that measures the wait of tokens in a pool.
func (a *Admission) measure(name string) func(time.Time) (float64, bool) {
	return func(now time.Time) (float64, bool) {
		snap := a.View.Load()
		if snap.Config == nil {
			return 0, false
		}
		p, known := snap.Config.Pools[name]
		if !known {
			return 0, false
		}
		return wait(snap, &p, now)
	}
}

// stage sums up the servers that begin at one layer boundary.
type stage struct {
	wait, weight float64
}

// wait returns the mean wait of tokens in units of their run time, at the
// stage of the pool where it is longest: that stage is what binds. Each
// server counts by its speed, since so many of the tokens pass it.
func wait(snap *view.Snapshot, p *pool.Pool, now time.Time) (float64, bool) {
	stages := map[int]stage{}
	for _, name := range p.Servers {
		m := snap.Meters[name]
		if m == nil {
			continue
		}
		waited, at := m.Wait()
		step := m.Step.Current()
		if step <= 0 || now.UnixNano()-at > int64(measureFor) {
			continue
		}
		s := stages[snap.Hosts[name].First]
		weight := 1 / step.Seconds()
		s.wait += weight * float64(waited) / float64(step)
		s.weight += weight
		stages[snap.Hosts[name].First] = s
	}
	longest := 0.0
	for _, s := range stages {
		longest = max(longest, s.wait/s.weight)
	}
	return longest, len(stages) > 0
}
