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

// Commands that can be answered from log files.
const (
	timelinePrefix = "show timeline request "
	lossesLine     = "show losses"
)

// lossWindow is the duration that one row of the table of lost requests covers.
const lossWindow = 2 * time.Second

// answerFromLogs answers commands from log files of entry hosts, without
// connecting to one. It returns the exit status.
func (c *client) answerFromLogs(lines []string) int {
	status := 0
	for _, text := range lines {
		if err := c.answerLine(strings.Join(strings.Fields(text), " ")); err != nil {
			fmt.Fprintln(c.stdout, outcomeRefused+":", err)
			status = boot.ExitFailed
		}
	}
	return status
}

// answerLine answers one command from the log files.
func (c *client) answerLine(text string) error {
	request, isTimeline := strings.CutPrefix(text, timelinePrefix)
	if !isTimeline && text != lossesLine {
		return fmt.Errorf("-logs answers `%sID` and `%s` only, not %q", timelinePrefix, lossesLine, text)
	}
	logs, closeAll, err := c.openLogs()
	defer closeAll()
	if err != nil {
		return err
	}
	fmt.Fprintln(c.stdout, ">", text)
	if isTimeline {
		return c.printTimeline(request, logs)
	}
	entries, err := reqlog.Read(logs...)
	fmt.Fprint(c.stdout, loss.Classify(entries, lossWindow))
	return err
}

// printTimeline prints all log entries of one request in order of time.
func (c *client) printTimeline(request string, logs []reqlog.Source) error {
	entries, err := reqlog.Find(request, logs...)
	for _, e := range entries {
		fmt.Fprintln(c.stdout, e)
	}
	if len(entries) == 0 {
		err = errors.Join(err, fmt.Errorf("no line names the request %s", request))
	}
	return err
}

// openLogs opens the log files. The returned function closes them; the caller must
// call it after an error as well.
func (c *client) openLogs() ([]reqlog.Source, func(), error) {
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	var logs []reqlog.Source
	for _, name := range strings.Split(c.logs, ",") {
		f, err := os.Open(name)
		if err != nil {
			return nil, closeAll, fmt.Errorf("-logs: %w", err)
		}
		files = append(files, f)
		logs = append(logs, reqlog.Source{Name: name, From: f})
	}
	return logs, closeAll, nil
}
