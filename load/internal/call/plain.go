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

// echo is the part of a plain stand-in's answer that tells whose it is.
type echo struct {
	Body string `json:"body"`
}

func (c *Caller) plain(ctx context.Context, entry string, shot plan.Arrival, watch TokenObserver) Outcome {
	mark := fmt.Sprintf("call %d of %s", shot.Serial, shot.Team)
	url := "http://" + entry + c.Plain.URI
	req, err := http.NewRequestWithContext(ctx, c.Plain.Method, url, strings.NewReader(mark))
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	// A body that cannot be read twice keeps net/http from resending.
	req.GetBody = nil
	req.Header.Set("Authorization", bearer(shot.Team))
	if c.Plain.ID {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), shot.Serial))
	}
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: Lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	var got echo
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return Outcome{Result: Lost}
	}
	watch.Token(time.Now())
	if json.Unmarshal(value, &got) != nil || got.Body != mark {
		return Outcome{Result: Wrong}
	}
	return Outcome{Result: Complete}
}
