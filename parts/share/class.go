package share

import "time"

const (
	// refusedWindow and servedWindow are the windows of the moving averages. What a rank
	// is served must be averaged over several requests, or a single one counts as its
	// minimum share.
	refusedWindow = time.Second
	servedWindow  = 2 * time.Second
	// smoothing is the window in which the demands are averaged before a decision: what
	// runs and waits changes with each request, and the sample of the hosts heard from
	// with each message.
	smoothing = 500 * time.Millisecond
	// workWeight is the weight of the latest request in the mean work of a request.
	workWeight = 0.1
)

// volume is the demand of a class and what is served of it.
type volume struct {
	Usage
	// served is the work begun per second.
	served float64
}

// add adds another volume times a factor.
func (v *volume) add(o volume, factor float64) {
	v.Running += factor * o.Running
	v.Waiting += factor * o.Waiting
	v.Refused += factor * o.Refused
	v.served += factor * o.served
}

// size orders classes by demand.
func (v volume) size() float64 { return v.Running + v.Waiting + v.Refused }

// class is the state of a Class.
type class struct {
	Class
	service *service
	// running and waiting are the work of this entry host's requests.
	running, waiting held
	refused, served  rate
	refusedAt        time.Time
	// usedAt is when the class was last found to have requests at any host.
	usedAt time.Time
	// perRequest is the mean work of a request at this entry host; zero is unknown.
	perRequest float64
	// remote is the demand at the other hosts, and average that at all hosts, smoothed.
	remote, average volume
	// charge is the work that other hosts have begun since the last TakeRemote.
	charge float64
}

// held is the work of a number of requests.
type held struct {
	work     float64
	requests int
}

func (h *held) add(work float64) {
	h.work += work
	h.requests++
}

// remove subtracts the work of a request. Without requests the work is zero exactly: the
// rounding error of a sum must not keep a class from being dropped.
func (h *held) remove(work float64) {
	h.requests--
	h.work = max(0, h.work-work)
	if h.requests == 0 {
		h.work = 0
	}
}

// own returns the demand at this entry host.
func (c *class) own(now time.Time) volume {
	v := volume{Usage: Usage{Running: c.running.work, Waiting: c.waiting.work}, served: c.served.at(servedWindow, now)}
	if now.Sub(c.refusedAt) < contendedFor {
		v.Refused = c.refused.at(refusedWindow, now)
	}
	return v
}

// request notes a request of some work.
func (c *class) request(work float64, now time.Time) {
	c.usedAt = now
	c.perRequest = mean(c.perRequest, work)
	c.service.perRequest = mean(c.service.perRequest, work)
}

// mean returns the moving average after another request.
func mean(average, work float64) float64 {
	if average == 0 {
		return work
	}
	return average + workWeight*(work-average)
}

// update advances the averages by the time since the last sweep.
func (c *class) update(elapsed time.Duration, now time.Time) {
	if c.running.requests > 0 || c.waiting.requests > 0 || c.remote.size()+c.remote.served > 0 {
		c.usedAt = now
	}
	v := c.own(now)
	v.add(c.remote, 1)
	served := v.served
	weight := decay(elapsed, smoothing)
	v.add(v, -weight) // v times (1 - weight)
	v.add(c.average, weight)
	v.served = served // This is an average already, and a rank must not get too much at once.
	c.average = v
	// Without calls of TakeRemote the charge would grow without bound.
	c.charge = min(c.charge+c.remote.served*elapsed.Seconds(), c.remote.served*maxAge.Seconds())
}

// demand returns the demand of the class for a decision.
func (c *class) demand() demand {
	d := demand{Usage: c.average.Usage, rank: c.Rank, served: c.average.served, perRequest: c.perRequest}
	if d.perRequest == 0 {
		d.perRequest = c.service.perRequest
	}
	return d
}
