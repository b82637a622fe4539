package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Freeze stops the process with SIGSTOP and waits until all of its threads have
// stopped. The signal takes effect asynchronously: on a busy machine a thread may
// continue for a while and do what the test wants to prevent.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return WaitFor(p.Name+" stopped", p.allThreadsStopped)
}

// allThreadsStopped reports whether every thread is in the state T (stopped).
func (p *Process) allThreadsStopped() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, file := range stats {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// The state follows the name of the thread, which is in parentheses.
		_, state, found := bytes.Cut(text, []byte(") "))
		if found && state[0] != 'T' {
			return false
		}
	}
	return true
}
