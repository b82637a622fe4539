package prog

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/trail"
)

// timelineWords begin the only line that is answered from files.
var timelineWords = []string{"show", "timeline", "request"}

// timeline answers `show timeline request N` from the files with the output of
// entry hosts. It returns the exit status.
func (d *desk) timeline(lines []string) int {
	status := 0
	for _, text := range lines {
		if err := d.trail(text); err != nil {
			fmt.Fprintln(d.stdout, refused+":", err)
			status = boot.ExitFailed
		}
	}
	return status
}

func (d *desk) trail(text string) error {
	words := strings.Fields(text)
	known := len(words) == len(timelineWords)+1
	for i, word := range timelineWords {
		known = known && words[i] == word
	}
	if !known {
		return fmt.Errorf("-logs answers `show timeline request ID` only, not %q", text)
	}
	request := words[len(timelineWords)]
	logs, end, err := d.open()
	defer end()
	if err != nil {
		return err
	}
	found, err := trail.Find(request, logs...)
	fmt.Fprintln(d.stdout, ">", text)
	for _, e := range found {
		fmt.Fprintln(d.stdout, e)
	}
	if len(found) == 0 {
		err = errors.Join(err, fmt.Errorf("no line names the request %s", request))
	}
	return err
}

// open opens the files. The returned function closes them.
func (d *desk) open() ([]trail.Log, func(), error) {
	var files []*os.File
	end := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	var logs []trail.Log
	for _, name := range strings.Split(d.logs, ",") {
		f, err := os.Open(name)
		if err != nil {
			return nil, end, fmt.Errorf("-logs: %w", err)
		}
		files = append(files, f)
		logs = append(logs, trail.Log{Name: name, From: f})
	}
	return logs, end, nil
}
