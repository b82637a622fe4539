package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"fuchsiashelf.dev/parts/fault"
)

// Order sends an order to an engine. The error is a *fault.Error. If the
// engine refused the order, its verdict is NotRun and its message is Fenced,
// Expired or Leaving.
func (c *Client) Order(ctx context.Context, address string, order *Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err}
	}
	// Without GetBody, net/http cannot resend the request on its own.
	req.GetBody = nil
	resp, err := c.http().Do(req)
	if err != nil {
		return &fault.Error{Code: fault.ServerFailed, Verdict: fault.SendVerdict(err), Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, address)
	}
	return nil
}

// Orders returns the orders that an engine has carried out, oldest first.
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
		return nil, responseError(resp, address)
	}
	var orders []Order
	return orders, json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&orders)
}
