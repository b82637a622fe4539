// Package procs starts the programs as separate processes and drives them, for
// golden sessions, the demo and the benchmarks.
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

// Process is a started program.
type Process struct {
	// Name is the name of the process and of its host.
	Name string
	// Program is the file name of the program.
	Program string
	// Args holds the arguments; for fsstand, the first is the role.
	Args []string
	// Addresses holds the addresses that the process listens on, by kind: serve
	// and control for fsstand; callers, peers, desk and ops for entry hosts.
	Addresses map[string]string
	// Exited is closed when the process has exited.
	Exited chan struct{}

	cmd *exec.Cmd
}

// Cluster holds the processes of one session. Set the exported fields before
// starting processes; Stop kills all of them.
type Cluster struct {
	// Path returns the path of a program.
	Path func(program string) (string, error)
	// Env is added to the environment of each process.
	Env []string
	// Dir is the directory for the logs of the processes, one file each.
	Dir string

	partition *partition
	cuts      *cuts

	mu    sync.Mutex
	procs map[string]*Process
}

// startTimeout limits the time until a process is ready. It allows for many
// sessions that run at once with the race detector.
const startTimeout = 60 * time.Second

// Start starts a program and waits until it reports that it is ready.
func (c *Cluster) Start(name, program string, args ...string) (*Process, error) {
	file, err := c.Path(program)
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Program: program, Args: args, Addresses: map[string]string{}, Exited: make(chan struct{})}
	p.cmd = exec.Command(file, args...)
	p.cmd.Env = append(os.Environ(), c.Env...)
	logs, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
	c.mu.Lock()
	if c.procs == nil {
		c.procs = map[string]*Process{}
	}
	c.procs[name] = p
	c.mu.Unlock()
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
	return p, p.waitReady(ready)
}

// waitReady waits until the process has printed its ready line, and parses the
// addresses in it.
func (p *Process) waitReady(ready <-chan string) error {
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case line := <-ready:
		for _, word := range strings.Fields(line) {
			kind, address, _ := strings.Cut(word, "=")
			p.Addresses[kind] = address
		}
		return nil
	case <-p.Exited:
		return fmt.Errorf("procs: %s exited before it was ready", p.Name)
	case <-timer.C:
		return fmt.Errorf("procs: %s was not ready within %s", p.Name, startTimeout)
	}
}

// Get returns a process by name.
func (c *Cluster) Get(name string) (*Process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[name]
	if p == nil {
		return nil, fmt.Errorf("procs: no process %s", name)
	}
	return p, nil
}

// All returns all started processes, including those that have exited.
func (c *Cluster) All() []*Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*Process
	for _, p := range c.procs {
		all = append(all, p)
	}
	return all
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// exitTimeout limits the wait for a process to exit.
const exitTimeout = 60 * time.Second

// Wait waits until the process has exited and returns its exit status.
func (p *Process) Wait() (int, error) {
	select {
	case <-p.Exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(exitTimeout):
		return 0, fmt.Errorf("procs: %s did not exit", p.Name)
	}
}

// Restart waits until a process has exited and starts it again at the same
// addresses, with additional arguments.
func (c *Cluster) Restart(name string, extraArgs ...string) (*Process, error) {
	old, err := c.Get(name)
	if err != nil {
		return nil, err
	}
	if _, err := old.Wait(); err != nil {
		return nil, err
	}
	args := append(slices.Clone(old.Args), extraArgs...)
	for kind, address := range old.Addresses {
		flag := kind
		if kind == "serve" {
			flag = "listen"
		}
		args = append(args, "-"+flag, address)
	}
	return c.Start(name, old.Program, args...)
}

// Stop kills all processes and closes the relays. It continues each process first,
// in case SIGSTOP has stopped it.
func (c *Cluster) Stop() error {
	if c.partition != nil {
		defer c.partition.close()
	}
	defer c.cuts.close()
	var errs []error
	for _, p := range c.All() {
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

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
