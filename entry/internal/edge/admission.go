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

// Admission controls which requests may run on their pools, by the quotas of
// their teams. Set the exported fields before first use. A nil Admission admits
// every request.
type Admission struct {
	View  *view.Publisher
	Trace *trace.Recorder
	// Limits are the limits of each pool's queue.
	Limits admit.Limits
	// TargetWait is the target for the mean time that tokens wait at backend
	// servers, in units of their run time.
	TargetWait float64

	// RemoteRates returns the requests per second of each team on the other entry
	// hosts that have reported them; nil for none.
	RemoteRates func() map[string]float64

	rates admit.RateLimiter
	// controllers holds the *admit.Controller of each pool by its name.
	controllers sync.Map
}

// admissionRequest is a request to be admitted to its pool.
type admissionRequest struct {
	id       string
	team     team.Team
	pool     pool.Pool
	cost     int
	bytes    int
	deadline time.Time
}

// admit waits until the request may run or is refused. The caller releases the
// grant when the request has ended. The verdict of the error is always NotRun.
func (a *Admission) admit(ctx context.Context, snap *view.Snapshot, req *admissionRequest) (admit.Grant, *fault.Error) {
	if a == nil {
		return admit.Grant{}, nil
	}
	// Only a rate limit needs the number of peers, and counting them walks the
	// host list.
	if req.team.Quota.Rate > 0 {
		if e := a.rates.Allow(time.Now(), req.team.Name, req.team.Quota, a.peers(snap)); e != nil {
			return admit.Grant{}, a.traceRefusal(req, e)
		}
	}
	grant, e := a.controller(snap, req.pool).Admit(ctx, admit.Request{
		Team: req.team.Name, Weight: float64(req.team.Quota.Share), Cost: float64(req.cost),
		Bytes: req.bytes, Deadline: req.deadline,
	})
	if e != nil {
		return admit.Grant{}, a.traceRefusal(req, e)
	}
	return grant, nil
}

// LocalRates returns the requests per second of each team on this entry host.
func (a *Admission) LocalRates() map[string]float64 {
	return a.rates.Usage(time.Now())
}

// peers returns how many entry hosts are listed and alive, this one included, and
// the rates of teams on the others.
func (a *Admission) peers(snap *view.Snapshot) admit.Peers {
	peers := admit.Peers{Listed: entryHosts(snap), Alive: 1}
	for name, p := range snap.Peers {
		if p.Alive && name != snap.Self && snap.Hosts[name].Role == host.Entry {
			peers.Alive++
		}
	}
	if a.RemoteRates != nil {
		peers.Rate = func(team string) float64 { return a.RemoteRates()[team] }
	}
	return peers
}

// traceRefusal records a refusal and returns its error.
func (a *Admission) traceRefusal(req *admissionRequest, e *fault.Error) *fault.Error {
	a.Trace.Record("gate", req.id, "refused: "+e.Error())
	return e
}

// The concurrency limits of a pool, per server, before its wait has been
// measured. A model pool starts above its capacity, since too low a limit would
// refuse requests while there is capacity; the first measurements reduce it.
// Plain services report no wait, so their limit stays. minInitialLimit is the
// lower bound of the initial limit of a model pool, not per server.
const (
	initialLimitPerServer = 32
	maxLimitPerServer     = 256
	plainLimitPerServer   = 256
	minInitialLimit       = 16
)

// controller returns the admission controller of a pool, creating it on first
// use. The initial limit is divided by the number of entry hosts, but is at least
// that of one server.
func (a *Admission) controller(snap *view.Snapshot, p pool.Pool) *admit.Controller {
	if existing, ok := a.controllers.Load(p.Name); ok {
		return existing.(*admit.Controller)
	}
	servers := float64(len(p.Servers))
	share := max(servers/float64(entryHosts(snap)), 1)
	ctrl := &admit.Controller{Limits: a.Limits, Limiter: admit.Limiter{
		Target: a.TargetWait, Min: 1, Max: maxLimitPerServer * servers,
		Value: max(initialLimitPerServer*share, minInitialLimit),
	}}
	if p.IsPlain() {
		ctrl.Limiter.Value = plainLimitPerServer * share
	} else {
		ctrl.MeasureWait = a.waitMeter(p.Name)
	}
	actual, loaded := a.controllers.LoadOrStore(p.Name, ctrl)
	if !loaded {
		registerGauges(p.Name, ctrl)
	}
	return actual.(*admit.Controller)
}

// priority returns the priority of a request at backend servers. Without it, a
// team that uses less than its share would wait as long at a full server as the
// team that fills the pool.
func priority(g admit.Grant) int {
	if g.Credit() {
		return 1
	}
	return 0
}

// lookup returns the controller of a pool to which a request has been admitted,
// or nil for a nil Admission.
func (a *Admission) lookup(name string) *admit.Controller {
	if a == nil {
		return nil
	}
	ctrl, _ := a.controllers.Load(name)
	return ctrl.(*admit.Controller)
}

// entryHosts returns the number of entry hosts that the platform lists, including
// this one. Unreachable ones count too, since they may still admit their share of
// a team's requests.
func entryHosts(snap *view.Snapshot) int {
	n := 0
	for _, h := range snap.Hosts {
		if h.Role == host.Entry {
			n++
		}
	}
	return max(n, 1)
}
