package prog

import (
	"fuchsiashelf.dev/entry/internal/order"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// orders makes the part that gives engines their orders.
func (d *daemon) orders(holder *view.Publisher, line *trace.Recorder, api store.API) *order.Controller {
	return &order.Controller{
		View: holder, Store: api, Engine: &engine.Client{}, Trace: line, Log: d.log,
		Term: d.settings.OrderTerm,
	}
}
