package prog

import (
	"fuchsiashelf.dev/entry/internal/order"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newOrderController creates the component that sends orders to engines.
func (d *daemon) newOrderController(publisher *view.Publisher, recorder *trace.Recorder, api store.API, client *engine.Client) *order.Controller {
	return &order.Controller{
		View: publisher, Store: api, Engine: client, Trace: recorder, Log: d.log,
		Term: d.settings.OrderTerm,
	}
}
