package main

import (
	"fmt"
	"os/exec"
	"strings"

	"fuchsiashelf.dev/sess/procs"
)

// controlLines begin the lines of the peers bench that this one repeats.
const controlLines = "control-"

// control runs the bench of the peers' exchange at the target size itself: the
// first seconds of a fleet cost several times what comes after, so that a line
// through smaller ones, measured early, is far off.
func (b *bench) control() error {
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
		if strings.HasPrefix(line, controlLines) {
			b.last = append(b.last, strings.TrimSpace(line))
		}
	}
	return nil
}
