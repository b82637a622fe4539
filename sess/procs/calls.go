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

// client gives up on a call that takes a minute, far beyond any deadline.
var client = &http.Client{Timeout: time.Minute}

// do makes a call and fails unless it is answered with a status below 300.
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

// Fetch returns what a GET of a URL answers.
func Fetch(url string) (string, error) {
	return do(http.MethodGet, url, nil)
}

// Answer is what a caller got for a model request.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers of the answer.
	Header http.Header
	// Tokens are the tokens that came, in order of arrival.
	Tokens []string
	// Indexes are the indexes that the tokens came with.
	Indexes []int
	// Ended says that an end event came.
	Ended bool
	// Count is the number of tokens that the end event stated.
	Count int
	// Problem is the error, if one came.
	Problem *ErrorBody
	// Cut says that the stream ended with neither an end nor an error.
	Cut bool
}

// ErrorBody is an error as a caller sees it.
type ErrorBody struct {
	Code         fault.Code    `json:"code"`
	Verdict      fault.Verdict `json:"verdict"`
	Field        string        `json:"field"`
	Message      string        `json:"message"`
	RetryAfterMs int64         `json:"retryAfterMs"`
}

// Generate sends a model request to an entry host.
func (w *Cluster) Generate(entry, team, service, prompt string, max int) (*Answer, error) {
	resp, err := w.ask(context.Background(), entry, team, service, prompt, max)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	a := &Answer{Status: resp.StatusCode, Header: resp.Header}
	if resp.StatusCode != http.StatusOK {
		a.Problem = &ErrorBody{}
		return a, json.NewDecoder(resp.Body).Decode(a.Problem)
	}
	return a, a.read(resp.Body)
}

// GenerateAndDisconnect sends a model request and leaves after so many tokens.
func (w *Cluster) GenerateAndDisconnect(entry, team, service, prompt string, max, tokens int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := w.ask(ctx, entry, team, service, prompt, max)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for scan := bufio.NewScanner(resp.Body); tokens > 0; {
		if !scan.Scan() {
			return fmt.Errorf("the stream ended %d tokens early: %w", tokens, scan.Err())
		}
		if strings.HasPrefix(scan.Text(), "data:") {
			tokens--
		}
	}
	return nil
}

func (w *Cluster) ask(ctx context.Context, entry, team, service, prompt string, max int) (*http.Response, error) {
	p, err := w.Get(entry)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{"service": service, "prompt": prompt, "max": max})
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

// read reads server-sent events until the stream ends.
func (a *Answer) read(body io.Reader) error {
	scan := bufio.NewScanner(body)
	kind := ""
	for scan.Scan() {
		line := scan.Text()
		if rest, ok := strings.CutPrefix(line, "event:"); ok {
			kind = strings.TrimSpace(rest)
		}
		if rest, ok := strings.CutPrefix(line, "data:"); ok {
			if err := a.event(kind, []byte(rest)); err != nil {
				return err
			}
		}
	}
	a.Cut = !a.Ended && a.Problem == nil
	return nil
}

func (a *Answer) event(kind string, data []byte) error {
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
		a.Tokens = append(a.Tokens, e.Token)
		a.Indexes = append(a.Indexes, e.Index)
	case "end":
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		a.Ended, a.Count = true, e.Count
	case "error":
		a.Problem = &ErrorBody{}
		return json.Unmarshal(data, a.Problem)
	}
	return nil
}

// Check compares an answer with the one that the layers give: whole, wrong,
// cut, or the error.
func (a *Answer) Check(prompt string, layers, max int) string {
	want := token.Answer(prompt, layers, max)
	for i, got := range a.Tokens {
		if i >= len(want) || got != want[i] || a.Indexes[i] != i {
			return fmt.Sprintf("wrong at token %d", i)
		}
	}
	switch {
	case a.Problem != nil:
		return fmt.Sprintf("error %s %s", a.Problem.Code, a.Problem.Verdict)
	case a.Cut:
		return fmt.Sprintf("cut after %d tokens", len(a.Tokens))
	case a.Count != max || len(a.Tokens) != max:
		return fmt.Sprintf("short: %d tokens", len(a.Tokens))
	}
	return fmt.Sprintf("whole, %d tokens", max)
}

// Reply is what a caller got for a call to a plain service.
type Reply struct {
	Status  int
	Header  http.Header
	Body    string
	Verdict string
}

// Call makes a call to a plain service through an entry host.
func (w *Cluster) Call(entry, team, method, uri, id, body string) (*Reply, error) {
	p, err := w.Get(entry)
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
		// A body that cannot be read twice keeps net/http from resending.
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
	return &Reply{
		Status: resp.StatusCode, Header: resp.Header, Body: string(value),
		Verdict: resp.Header.Get(fault.Header),
	}, nil
}

// RunDesk runs one line of the operators' language through fsdesk and returns
// what it printed. A status other than 0 is no error.
func (w *Cluster) RunDesk(entry string, line ...string) (string, error) {
	p, err := w.Get(entry)
	if err != nil {
		return "", err
	}
	file, err := w.Path("fsdesk")
	if err != nil {
		return "", err
	}
	args := append([]string{"-entry", p.Addresses["desk"], "-secret", DeskSecret}, line...)
	cmd := exec.Command(file, args...)
	cmd.Env = append(os.Environ(), w.Env...)
	out, err := cmd.CombinedOutput()
	if _, exited := err.(*exec.ExitError); exited {
		err = nil
	}
	return string(out), err
}

// readyTick is the pause between two looks at a condition.
const readyTick = 20 * time.Millisecond

// WaitFor repeats a look until it is true, at most for a minute.
func WaitFor(what string, look func() bool) error {
	end := time.Now().Add(time.Minute)
	for !look() {
		if time.Now().After(end) {
			return fmt.Errorf("procs: %s did not come true in a minute", what)
		}
		time.Sleep(readyTick)
	}
	return nil
}

// Ready waits until an entry host says that it is ready.
func (w *Cluster) Ready(entry string) error {
	p, err := w.Get(entry)
	if err != nil {
		return err
	}
	return WaitFor(entry+" ready", func() bool {
		_, err := do("GET", "http://"+p.Addresses["callers"]+"/ready", nil)
		return err == nil
	})
}
