// Package strike switches faults on in stand-ins at given moments of a run.
package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Fault is one fault at one moment.
type Fault struct {
	// At is when the fault begins, from the start of the run.
	At time.Duration
	// Control is the address of the stand-in's control listener, or pid:N for
	// a process that gets a signal.
	Control string
	// Kind and Value name the fault and its parameter. The kind "heal"
	// switches all faults of the stand-in off. For a process the kind is
	// KILL, STOP, CONT or TERM.
	Kind, Value string
}

// ClearFaults is the kind that switches all faults of a stand-in off.
const ClearFaults = "heal"

// Parse reads "10s ADDRESS KIND [VALUE]".
func Parse(text string) (Fault, error) {
	words := strings.Fields(text)
	if len(words) < 3 || len(words) > 4 {
		return Fault{}, fmt.Errorf("fault: %q is not TIME ADDRESS KIND [VALUE]", text)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Fault{}, fmt.Errorf("fault: %q is not a duration", words[0])
	}
	s := Fault{At: at, Control: words[1], Kind: words[2]}
	if len(words) == 4 {
		s.Value = words[3]
	}
	return s, nil
}

// String returns the strike without its address, which varies from run to
// run.
func (s Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", s.At, s.Kind, s.Value))
}

// body is the call that switches a fault on.
type body struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// signals are the signals that a strike may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// Inject begins the fault. A stand-in that dies of it may not answer, so an error
// is for the log only.
func (s Fault) Inject(ctx context.Context) error {
	if pid, found := strings.CutPrefix(s.Control, processPrefix); found {
		return s.signal(pid)
	}
	return s.call(ctx)
}

// processPrefix marks a process in place of a control listener.
const processPrefix = "pid:"

func (s Fault) signal(process string) error {
	pid, err := strconv.Atoi(process)
	if err != nil || pid <= 1 {
		return fmt.Errorf("strike: %q is no process", process)
	}
	sig, known := signals[s.Kind]
	if !known {
		return fmt.Errorf("strike: unknown signal %s", s.Kind)
	}
	return syscall.Kill(pid, sig)
}

// call switches the fault on over the control listener.
func (s Fault) call(ctx context.Context) error {
	value, err := json.Marshal(body{s.Kind, s.Value})
	if err != nil {
		return err
	}
	method := http.MethodPost
	if s.Kind == ClearFaults {
		method = http.MethodDelete
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Control+"/fault", bytes.NewReader(value))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
