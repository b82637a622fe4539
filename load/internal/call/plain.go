package call

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"fuchsiashelf.dev/load/internal/plan"
)

// echo is the part of a plain response that identifies the request it belongs to.
type echo struct {
	Body string `json:"body"`
}

// plain makes a plain call.
func (c *Caller) plain(ctx context.Context, entry string, arrival plan.Arrival, observer TokenObserver) Outcome {
	want := fmt.Sprintf("call %d of %s", arrival.Serial, arrival.Team)
	url := "http://" + entry + c.Plain.URI
	req, err := http.NewRequestWithContext(ctx, c.Plain.Method, url, strings.NewReader(want))
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	// Without GetBody net/http can't send the request a second time.
	req.GetBody = nil
	req.Header.Set("Authorization", authorization(arrival.Team))
	if c.Plain.ID {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), arrival.Serial))
	}
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: Lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	var got echo
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Result: Lost}
	}
	observer.Token(time.Now())
	if json.Unmarshal(body, &got) != nil || got.Body != want {
		return Outcome{Result: Wrong}
	}
	return Outcome{Result: Complete}
}
