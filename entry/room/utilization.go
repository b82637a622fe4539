package room

import (
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// utilizationInterval is the time between two measurements of the utilization. Requests take
// about a second, and with thousands of servers a measurement takes a millisecond.
const utilizationInterval = 200 * time.Millisecond

// measure measures the utilization of the failure domains for the services that are short.
func (w *Watch) measure(table *route.Table, view *fleet.View, now time.Time) {
	if w.Load == nil || !w.beginMeasure(now) {
		return
	}
	for name, s := range table.Services {
		var utilization map[domain.Name]float64
		if s.Engine != nil && w.Short(name) {
			utilization = router.Utilization(s.Engine, view.Service(name), w.Load.Used)
		}
		w.mu.Lock()
		if known := w.services[name]; known != nil {
			known.utilization = router.SmoothUtilization(known.utilization, utilization)
		}
		w.mu.Unlock()
	}
}

// Utilization returns the smoothed utilization of the failure domains for a service that is
// short, and nil for one that is not. The result must not be changed.
func (w *Watch) Utilization(name string) map[domain.Name]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[name]; s != nil && s.short {
		return s.utilization
	}
	return nil
}

// beginMeasure reports whether a measurement is due.
func (w *Watch) beginMeasure(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.measured) < utilizationInterval {
		return false
	}
	w.measured = now
	return true
}
