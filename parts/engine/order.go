package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"fuchsiashelf.dev/parts/fault"
)

// Order gives an engine an order. The error is a *fault.Error; it is NotRun,
// with Fenced or Lapsed as its message, if the engine refused.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	// A body that cannot be read twice keeps net/http from resending.
	req.GetBody = nil
	resp, err := c.http().Do(req)
	if err != nil {
		return &fault.Error{Code: fault.ServerFailed, Verdict: fault.SendVerdict(err), Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, address)
	}
	return nil
}

// Orders returns the orders that took effect on an engine, oldest first.
func (c *Client) Orders(ctx context.Context, address string) ([]Order, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/orders", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp, address)
	}
	var orders []Order
	return orders, json.NewDecoder(resp.Body).Decode(&orders)
}
