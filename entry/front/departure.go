package front

import (
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/caller"
)

// recordDeparture logs and counts a request whose caller left before its end, with the ages of the
// request at which its work began and ended.
func (h *Handler) recordDeparture(watch *caller.Watch, r *http.Request) {
	d := watch.Departure()
	if d == nil {
		return
	}
	ended := time.Since(watch.Begun)
	h.Meter.Count("caller.left." + string(d.By))
	h.Meter.Observe("caller.left.unnoticed", d.Noticed-d.Connected)
	h.Meter.Observe("caller.left.working", ended-d.Noticed)
	steps, omitted := watch.Steps()
	texts := make([]string, len(steps))
	for i, s := range steps {
		texts[i] = s.String()
	}
	lost := 0.0
	if h.Lost != nil {
		lost = h.Lost()
	}
	h.Log.Info("request: caller left", "request", h.Codec.RequestID(r), "by", d.By, "how", d.How, "connected", d.Connected, "noticed", d.Noticed,
		"ended", ended, "lost", lost, "steps", texts, "omitted", omitted)
}

// recordLate logs a step of a request that has ended.
func (h *Handler) recordLate(r *http.Request, s caller.Step) {
	h.Meter.Count("requests.late-step")
	h.Log.Info("request: step after its end", "request", h.Codec.RequestID(r), "step", s.String())
}
