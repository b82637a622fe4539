package prog

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/loss"
	"fuchsiashelf.dev/parts/reqlog"
)

// The lines that are answered from files begin with these words.
const (
	timelineWords = "show timeline request "
	lossesWords   = "show losses"
)

// lossesEvery is the length of a window of the table of losses.
const lossesEvery = 2 * time.Second

// local answers lines from the files with the output of entry hosts. It returns
// the exit status.
func (d *desk) local(lines []string) int {
	status := 0
	for _, text := range lines {
		if err := d.show(strings.Join(strings.Fields(text), " ")); err != nil {
			fmt.Fprintln(d.stdout, refused+":", err)
			status = boot.ExitFailed
		}
	}
	return status
}

// show answers one line.
func (d *desk) show(text string) error {
	request, isTimeline := strings.CutPrefix(text, timelineWords)
	if !isTimeline && text != lossesWords {
		return fmt.Errorf("-logs answers `%sID` and `%s` only, not %q", timelineWords, lossesWords, text)
	}
	logs, end, err := d.open()
	defer end()
	if err != nil {
		return err
	}
	fmt.Fprintln(d.stdout, ">", text)
	if isTimeline {
		return d.timeline(request, logs)
	}
	entries, err := reqlog.Read(logs...)
	fmt.Fprint(d.stdout, loss.Classify(entries, lossesEvery))
	return err
}

func (d *desk) timeline(request string, logs []reqlog.Source) error {
	found, err := reqlog.Find(request, logs...)
	for _, e := range found {
		fmt.Fprintln(d.stdout, e)
	}
	if len(found) == 0 {
		err = errors.Join(err, fmt.Errorf("no line names the request %s", request))
	}
	return err
}

// open opens the files. The returned function closes them.
func (d *desk) open() ([]reqlog.Source, func(), error) {
	var files []*os.File
	end := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	var logs []reqlog.Source
	for _, name := range strings.Split(d.logs, ",") {
		f, err := os.Open(name)
		if err != nil {
			return nil, end, fmt.Errorf("-logs: %w", err)
		}
		files = append(files, f)
		logs = append(logs, reqlog.Source{Name: name, From: f})
	}
	return logs, end, nil
}
