package edge

import (
	"context"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/team"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Admission lets requests through to their pools, each team by its quota. Set
// the exported fields before first use. A nil Admission lets all through.
type Admission struct {
	View  *view.Publisher
	Trace *trace.Recorder
	// Limits are those of each pool's queue.
	Limits admit.Limits
	// TargetWait is the mean wait of tokens at engines to aim at, in units of
	// their run time.
	TargetWait float64

	// RemoteUsage returns the requests per second of each team on other entry
	// hosts, as far as they have told; nil for none.
	RemoteUsage func() map[string]float64

	rates admit.RateLimiter
	// doors holds a *admit.Door for each pool by its name.
	doors sync.Map
}

// entering is a request at the door of its pool.
type entering struct {
	request  string
	team     team.Team
	pool     pool.Pool
	cost     int
	bytes    int
	deadline time.Time
}

// enter returns when the request may run. The grant is left when it has ended.
// The error is NotRun.
func (a *Admission) enter(ctx context.Context, snap *view.Snapshot, in *entering) (admit.Grant, *fault.Error) {
	if a == nil {
		return admit.Grant{}, nil
	}
	// Counting the fleet walks the host list, which only a limit needs.
	if in.team.Quota.Rate > 0 {
		if e := a.rates.Allow(time.Now(), in.team.Name, in.team.Quota, a.fleet(snap)); e != nil {
			return admit.Grant{}, a.refused(in, e)
		}
	}
	grant, e := a.door(snap, in.pool).Admit(ctx, admit.Request{
		Team: in.team.Name, Weight: float64(in.team.Quota.Share), Cost: float64(in.cost),
		Bytes: in.bytes, Deadline: in.deadline,
	})
	if e != nil {
		return admit.Grant{}, a.refused(in, e)
	}
	return grant, nil
}

// LocalUsage returns the requests per second of each team here.
func (a *Admission) LocalUsage() map[string]float64 {
	return a.rates.Usage(time.Now())
}

// fleet returns what is known of the other entry hosts.
func (a *Admission) fleet(snap *view.Snapshot) admit.Peers {
	f := admit.Peers{Listed: entryHosts(snap), Alive: 1}
	for name, p := range snap.Peers {
		if p.Alive && name != snap.Self && snap.Hosts[name].Role == host.Entry {
			f.Alive++
		}
	}
	if a.RemoteUsage != nil {
		f.Rate = func(team string) float64 { return a.RemoteUsage()[team] }
	}
	return f
}

func (a *Admission) refused(in *entering, e *fault.Error) *fault.Error {
	a.Trace.Record("gate", in.request, "refused: "+e.Error())
	return e
}

// The limits of a pool before anything was measured, for each of its servers.
// A model pool starts with more than it can carry, since too low a limit
// would refuse while there is room; the first measurements cut it. A plain
// service reports nothing, so its limit stays.
const (
	startPerServer = 32
	mostPerServer  = 256
	plainPerServer = 256
	leastStart     = 16
)

// door returns the door of a pool.
func (a *Admission) door(snap *view.Snapshot, p pool.Pool) *admit.Controller {
	if known, ok := a.doors.Load(p.Name); ok {
		return known.(*admit.Controller)
	}
	servers := float64(len(p.Servers))
	part := max(servers/float64(entryHosts(snap)), 1)
	d := &admit.Controller{Limits: a.Limits, Limiter: admit.Limiter{
		Target: a.TargetWait, Min: 1, Max: mostPerServer * servers,
		Value: max(startPerServer*part, leastStart),
	}}
	if p.IsPlain() {
		d.Limiter.Value = plainPerServer * part
	} else {
		d.MeasureWait = a.measure(p.Name)
	}
	held, found := a.doors.LoadOrStore(p.Name, d)
	if !found {
		show(p.Name, d)
	}
	return held.(*admit.Controller)
}

// priority returns the priority at engines. What waits at a full engine would
// otherwise be the same for a team that uses less than its share as for the
// one that fills the pool.
func priority(g admit.Grant) int {
	if g.Credit() {
		return 1
	}
	return 0
}

// known returns the door of a pool that a request has passed, or nil.
func (a *Admission) known(name string) *admit.Controller {
	if a == nil {
		return nil
	}
	d, _ := a.doors.Load(name)
	return d.(*admit.Controller)
}

// entryHosts returns how many entry hosts the platform lists, this one
// included. Those that can't be reached count too: they may still let their
// part of a team's requests through.
func entryHosts(snap *view.Snapshot) int {
	n := 0
	for _, h := range snap.Hosts {
		if h.Role == host.Entry {
			n++
		}
	}
	return max(n, 1)
}
