package procs

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Freeze stops a process and waits until each of its threads has stopped. The
// signal alone only asks for it: on a busy machine a thread runs on for a
// while and may still do what the freeze is to prevent.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return WaitFor(p.Name+" frozen", p.frozen)
}

func (p *Process) frozen() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, file := range stats {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// The state follows the name, which is in parentheses.
		_, state, found := bytes.Cut(text, []byte(") "))
		if found && state[0] != 'T' {
			return false
		}
	}
	return true
}
