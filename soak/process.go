package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// process is a process of an entry host.
type process struct {
	cmd       *exec.Cmd
	startedAt time.Time
	exited    chan struct{}
	// stopped and killed say that it was sent SIGTERM and SIGKILL.
	stopped, killed atomic.Bool
}

// settings returns the settings of the entry host.
func (e *entryHost) settings() string {
	return fakes.Settings{
		Name: e.name, Zone: e.zone, Callers: e.callerAddr, Ops: e.opsAddr, Peers: e.peerAddr, Seed: e.seedAddr, Source: e.source.String(), Store: e.storeProxy.Address(), GraceSeconds: int(grace.Seconds()),
	}.YAML()
}

// settingsFile returns the path of the settings file.
func (e *entryHost) settingsFile() string { return filepath.Join(e.cluster.Dir, e.name+".yaml") }

// start starts the process of an entry host.
func (e *entryHost) start() error { return e.launch(e.settings(), nil) }

// launch writes a settings file with the given text and starts the process. The log goes to output, or
// into a file if that is nil.
func (e *entryHost) launch(settings string, output *os.File) error {
	if err := os.WriteFile(e.settingsFile(), []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.cluster.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := &process{cmd: exec.Command(e.cluster.Program), startedAt: time.Now(), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), fakes.FileVariable+"="+e.settingsFile())
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if output != nil {
		p.cmd.Stdout = output
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	if e.cluster.OnStart != nil {
		e.cluster.OnStart(p.cmd.Process)
	}
	go e.await(p)
	e.mu.Lock()
	e.process = p
	e.mu.Unlock()
	return nil
}

// await waits until a process has ended, and records it if it was not to end, or not in this way.
func (e *entryHost) await(p *process) {
	defer close(p.exited)
	err := p.cmd.Wait()
	if p.killed.Load() || p.stopped.Load() && err == nil {
		return
	}
	how := "status 0"
	if err != nil {
		how = err.Error()
	}
	c := e.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exits = append(c.exits, fmt.Sprintf("%s: process %d ended by itself, %s, %s after its start", e.name, p.cmd.Process.Pid, how, time.Since(p.startedAt).Round(time.Millisecond)))
}

// running returns the process; nil if none has been started.
func (e *entryHost) running() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// signal sends a signal to the process, if it has been started.
func (e *entryHost) signal(s syscall.Signal) {
	p := e.running()
	if p == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		p.stopped.Store(true)
	case syscall.SIGKILL:
		p.killed.Store(true)
	}
	// The process may have exited already.
	_ = p.cmd.Process.Signal(s)
}

// wait waits until the process has exited.
func (e *entryHost) wait() {
	if p := e.running(); p != nil {
		<-p.exited
	}
}
