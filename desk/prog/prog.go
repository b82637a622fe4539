// Package prog implements fsdesk, the operators' command-line client. It sends
// each command to an entry host and prints the answer.
package prog

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"

	"fuchsiashelf.dev/parts/boot"
)

// Main runs the program and returns its exit status: 0 only if every command
// had the outcome done.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if boot.PrintVersion("fsdesk", args, stdout) {
		return 0
	}
	s := &settings{}
	fs := s.flags(stderr)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	var lines []string
	if err == nil {
		lines, err = s.readLines(fs.Args(), stdin)
		err = errors.Join(s.check(len(lines)), err)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return boot.ExitUsage
	}
	c := &client{settings: s, stdout: stdout}
	if s.logs != "" {
		return c.answerFromLogs(lines)
	}
	return c.sendAll(ctx, lines)
}
