// Package procs starts the programs as separate processes and drives them,
// for golden sessions, the demo and the benches.
package procs

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one process.
type Process struct {
	// Name is the name of the host that the process plays.
	Name string
	// Program is the file name of the program.
	Program string
	// Args are its arguments; the first is the role of a stand-in.
	Args []string
	// Addresses holds the addresses that it listens on, by kind: serve and control
	// for stand-ins; callers, peers, desk and ops for entry hosts.
	Addresses map[string]string
	// Exited is closed when the process has ended.
	Exited chan struct{}

	cmd *exec.Cmd
}

// Cluster holds the processes of one session. Set the exported fields, then
// start processes; End ends all of them.
type Cluster struct {
	// Path finds a program's file.
	Path func(program string) (string, error)
	// Env is added to the environment of each program.
	Env []string
	// Dir is where the processes write their logs, one file each.
	Dir string

	relays *relays

	mu    sync.Mutex
	procs map[string]*Process
}

// startWait is how long a process may take until it is ready. It is long
// since a machine that runs many sessions with the race detector is slow.
const startWait = 60 * time.Second

// Start starts a program and waits until it says that it is ready.
func (w *Cluster) Start(name, program string, args ...string) (*Process, error) {
	file, err := w.Path(program)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Program: program, Args: args, Addresses: map[string]string{}, Exited: make(chan struct{})}
	p.cmd = exec.Command(file, args...)
	p.cmd.Env = append(os.Environ(), w.Env...)
	logs, err := os.OpenFile(filepath.Join(w.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = logs
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	if w.procs == nil {
		w.procs = map[string]*Process{}
	}
	w.procs[name] = p
	w.mu.Unlock()
	ready := make(chan string, 1)
	go func() {
		scan := bufio.NewScanner(out)
		for scan.Scan() {
			if rest, ok := strings.CutPrefix(scan.Text(), "ready "); ok {
				ready <- rest
			}
		}
		_ = p.cmd.Wait()
		_ = logs.Close()
		close(p.Exited)
	}()
	return p, p.await(ready)
}

func (p *Process) await(ready <-chan string) error {
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case line := <-ready:
		for _, word := range strings.Fields(line) {
			kind, address, _ := strings.Cut(word, "=")
			p.Addresses[kind] = address
		}
		return nil
	case <-p.Exited:
		return fmt.Errorf("procs: %s ended before it was ready", p.Name)
	case <-timer.C:
		return fmt.Errorf("procs: %s was not ready in %s", p.Name, startWait)
	}
}

// Get returns a process by name.
func (w *Cluster) Get(name string) (*Process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[name]
	if p == nil {
		return nil, fmt.Errorf("procs: no process %s", name)
	}
	return p, nil
}

// All returns all processes that were started, the ended ones included.
func (w *Cluster) All() []*Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*Process
	for _, p := range w.procs {
		all = append(all, p)
	}
	return all
}

// Signal sends a signal to a process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// exitWait is how long a process may take to end.
const exitWait = 60 * time.Second

// Wait waits until the process has ended and returns its exit status.
func (p *Process) Wait() (int, error) {
	select {
	case <-p.Exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(exitWait):
		return 0, fmt.Errorf("procs: %s did not end", p.Name)
	}
}

// Restart starts a process that has ended again, at the same addresses, with
// more arguments.
func (w *Cluster) Restart(name string, more ...string) (*Process, error) {
	old, err := w.Get(name)
	if err != nil {
		return nil, err
	}
	if _, err := old.Wait(); err != nil {
		return nil, err
	}
	args := append(slices.Clone(old.Args), more...)
	for kind, address := range old.Addresses {
		flag := kind
		if kind == "serve" {
			flag = "listen"
		}
		args = append(args, "-"+flag, address)
	}
	return w.Start(name, old.Program, args...)
}

// Stop ends all processes. A frozen one is thawed first, so that it can go.
func (w *Cluster) Stop() error {
	if w.relays != nil {
		defer w.relays.close()
	}
	var errs []error
	for _, p := range w.All() {
		select {
		case <-p.Exited:
			continue
		default:
		}
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGKILL)
		_, err := p.Wait()
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// SortedKeys returns the keys of a map in order.
func SortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// PID returns the id of the process.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
