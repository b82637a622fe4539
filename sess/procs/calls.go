package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/stand/token"
)

// client has a timeout far above any deadline of a request.
var client = &http.Client{Timeout: time.Minute}

// do makes an HTTP call and returns the body of the response. A status of 300
// or above is an error. headers are pairs of name and value.
func do(method, url string, body []byte, headers ...string) (string, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return "", fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, value)
	}
	return string(value), nil
}

// Fetch returns the body of the response to a GET request.
func Fetch(url string) (string, error) {
	return do(http.MethodGet, url, nil)
}

// ModelResponse is the response to a model request as its caller received it.
type ModelResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers of the response.
	Header http.Header
	// Tokens holds the tokens in order of arrival.
	Tokens []string
	// Indexes holds the index that each token was sent with.
	Indexes []int
	// Ended reports whether an end event was received.
	Ended bool
	// Count is the number of tokens according to the end event.
	Count int
	// Problem is the error, if one was received.
	Problem *ErrorBody
	// Cut reports whether the stream ended with neither an end event nor an
	// error.
	Cut bool
}

// ErrorBody is the body of an error response or error event.
type ErrorBody struct {
	Code         fault.Code    `json:"code"`
	Verdict      fault.Verdict `json:"verdict"`
	Field        string        `json:"field"`
	Message      string        `json:"message"`
	RetryAfterMs int64         `json:"retryAfterMs"`
}

// Generate sends a model request to an entry host and reads the whole response.
func (c *Cluster) Generate(entry, team, service, prompt string, maxTokens int) (*ModelResponse, error) {
	resp, err := c.post(context.Background(), entry, team, service, prompt, maxTokens)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	m := &ModelResponse{Status: resp.StatusCode, Header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		m.Problem = &ErrorBody{}
		return m, json.NewDecoder(resp.Body).Decode(m.Problem)
	}
	return m, m.readEvents(resp.Body)
}

// GenerateAndDisconnect sends a model request and closes the connection after
// the given number of tokens.
func (c *Cluster) GenerateAndDisconnect(entry, team, service, prompt string, maxTokens, tokens int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := c.post(ctx, entry, team, service, prompt, maxTokens)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for scan := bufio.NewScanner(resp.Body); tokens > 0; {
		if !scan.Scan() {
			return fmt.Errorf("stream ended %d tokens early: %w", tokens, scan.Err())
		}
		if strings.HasPrefix(scan.Text(), "data:") {
			tokens--
		}
	}
	return nil
}

// post sends a model request to an entry host.
func (c *Cluster) post(ctx context.Context, entry, team, service, prompt string, maxTokens int) (*http.Response, error) {
	p, err := c.Get(entry)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{"service": service, "prompt": prompt, "max": maxTokens})
	if err != nil {
		return nil, err
	}
	url := "http://" + p.Addresses["callers"] + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Token(team))
	return client.Do(req)
}

// readEvents reads server-sent events until the stream ends.
func (m *ModelResponse) readEvents(body io.Reader) error {
	scan := bufio.NewScanner(body)
	kind := ""
	for scan.Scan() {
		line := scan.Text()
		if rest, ok := strings.CutPrefix(line, "event:"); ok {
			kind = strings.TrimSpace(rest)
		}
		if rest, ok := strings.CutPrefix(line, "data:"); ok {
			if err := m.addEvent(kind, []byte(rest)); err != nil {
				return err
			}
		}
	}
	m.Cut = !m.Ended && m.Problem == nil
	return nil
}

// addEvent records one event of the stream.
func (m *ModelResponse) addEvent(kind string, data []byte) error {
	var e struct {
		Index int
		Token string
		Count int
	}
	switch kind {
	case "token":
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		m.Tokens = append(m.Tokens, e.Token)
		m.Indexes = append(m.Indexes, e.Index)
	case "end":
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		m.Ended, m.Count = true, e.Count
	case "error":
		m.Problem = &ErrorBody{}
		return json.Unmarshal(data, m.Problem)
	}
	return nil
}

// Check compares the response with the correct one for the prompt and a model with
// the given number of layers. It describes the result in one line: whole, wrong,
// cut, short, or the error.
func (m *ModelResponse) Check(prompt string, layers, maxTokens int) string {
	want := token.Expected(prompt, layers, maxTokens)
	for i, got := range m.Tokens {
		if i >= len(want) || got != want[i] || m.Indexes[i] != i {
			return fmt.Sprintf("wrong at token %d", i)
		}
	}
	switch {
	case m.Problem != nil:
		return fmt.Sprintf("error %s %s", m.Problem.Code, m.Problem.Verdict)
	case m.Cut:
		return fmt.Sprintf("cut after %d tokens", len(m.Tokens))
	case m.Count != maxTokens || len(m.Tokens) != maxTokens:
		return fmt.Sprintf("short: %d tokens", len(m.Tokens))
	}
	return fmt.Sprintf("whole, %d tokens", maxTokens)
}

// PlainResponse is the response of a plain service as its caller received it.
type PlainResponse struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict string
}

// Call sends a request to a plain service through an entry host.
func (c *Cluster) Call(entry, team, method, uri, id, body string) (*PlainResponse, error) {
	p, err := c.Get(entry)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(method, "http://"+p.Addresses["callers"]+uri, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Token(team))
	if id != "" {
		req.Header.Set("Idempotency-Key", id)
		// Without GetBody net/http can't send the request a second time.
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &PlainResponse{
		Status: resp.StatusCode, Header: resp.Header, Body: string(value),
		Verdict: resp.Header.Get(fault.Header),
	}, nil
}

// RunDesk runs one command of the operators through fsdesk and returns what it
// printed. An exit status other than 0 is not an error.
func (c *Cluster) RunDesk(entry string, line ...string) (string, error) {
	p, err := c.Get(entry)
	if err != nil {
		return "", err
	}
	file, err := c.Path("fsdesk")
	if err != nil {
		return "", err
	}
	args := append([]string{"-entry", p.Addresses["desk"], "-secret", DeskSecret}, line...)
	cmd := exec.Command(file, args...)
	cmd.Env = append(os.Environ(), c.Env...)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); exited {
		err = nil
	}
	return string(out), err
}

// pollInterval is the pause between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// WaitFor polls a condition until it is true, for at most a minute.
func WaitFor(description string, condition func() bool) error {
	deadline := time.Now().Add(time.Minute)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("procs: %s: condition not met within a minute", description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Ready waits until an entry host reports that it is ready.
func (c *Cluster) Ready(entry string) error {
	p, err := c.Get(entry)
	if err != nil {
		return err
	}
	err = WaitFor(entry+" ready", func() bool {
		_, err := do("GET", "http://"+p.Addresses["callers"]+"/ready", nil)
		return err == nil
	})
	if err != nil || c.partition == nil {
		return err
	}
	return c.refreshHosts(entry)
}
