// Package chaos injects faults into stand-ins and processes at given times of a run.
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

// Fault is one fault to inject.
type Fault struct {
	// At is when to inject the fault, from the start of the run.
	At time.Duration
	// Control is the address of the stand-in's control listener, or pid:N for
	// a process to send a signal to.
	Control string
	// Kind and Value are the fault and its parameter. The kind "heal" clears
	// all faults of the stand-in. For a process the kind is KILL, STOP, CONT or
	// TERM.
	Kind, Value string
}

// ClearFaults is the kind that clears all faults of a stand-in.
const ClearFaults = "heal"

// Parse parses "10s ADDRESS KIND [VALUE]".
func Parse(text string) (Fault, error) {
	words := strings.Fields(text)
	if len(words) < 3 || len(words) > 4 {
		return Fault{}, fmt.Errorf("fault: %q is not TIME ADDRESS KIND [VALUE]", text)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil {
		return Fault{}, fmt.Errorf("fault: %q is not a duration", words[0])
	}
	f := Fault{At: at, Control: words[1], Kind: words[2]}
	if len(words) == 4 {
		f.Value = words[3]
	}
	return f, nil
}

// String returns the fault without its address, which differs from run to run.
func (f Fault) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", f.At, f.Kind, f.Value))
}

// faultRequest is the request body that adds a fault.
type faultRequest struct {
	Kind  string `json:"kind"`
	Value string `json:"value"`
}

// signalsByName holds the signals that a fault may send.
var signalsByName = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// Inject injects the fault. A stand-in that exits because of the fault may not
// respond, so an error does not always mean that the injection failed.
func (f Fault) Inject(ctx context.Context) error {
	if pid, found := strings.CutPrefix(f.Control, processPrefix); found {
		return f.signal(pid)
	}
	return f.post(ctx)
}

// processPrefix precedes a process ID in Control.
const processPrefix = "pid:"

// signal sends the signal to a process.
func (f Fault) signal(process string) error {
	pid, err := strconv.Atoi(process)
	if err != nil || pid <= 1 {
		return fmt.Errorf("fault: %q is not a process ID", process)
	}
	sig, known := signalsByName[f.Kind]
	if !known {
		return fmt.Errorf("fault: unknown signal %s", f.Kind)
	}
	return syscall.Kill(pid, sig)
}

// post sends the fault to the control listener.
func (f Fault) post(ctx context.Context) error {
	encoded, err := json.Marshal(faultRequest{f.Kind, f.Value})
	if err != nil {
		return err
	}
	method := http.MethodPost
	if f.Kind == ClearFaults {
		method = http.MethodDelete
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Control+"/fault", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
