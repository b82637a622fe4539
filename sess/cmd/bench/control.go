package main

import (
	"fmt"
	"os/exec"
	"strings"

	"fuchsiashelf.dev/sess/procs"
)

// controlPrefix starts the result lines of the peers benchmark that become results
// of this one.
const controlPrefix = "control-"

// measureControl runs the peers benchmark at the target size itself. An
// extrapolation from smaller fleets would be far off, because the first seconds
// of a fleet cost several times as much as the time after.
func (b *bench) measureControl() error {
	file, err := procs.ProgramsIn(b.bin)("peers")
	if err != nil {
		return err
	}
	out, err := exec.Command(file, "-nodes", "320", "-warm", "25s", "-span", "5s").CombinedOutput()
	fmt.Print(string(out))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(out)) {
		if strings.HasPrefix(line, controlPrefix) {
			b.results = append(b.results, strings.TrimSpace(line))
		}
	}
	return nil
}
