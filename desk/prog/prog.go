// Package prog is the program fsdesk: the operators' command line. It sends
// each line to an entry host and prints the one answer to it.
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

// Main runs the program and returns its exit status: 0 only if every line was
// answered with done.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if boot.PrintVersion("fsdesk", args, stdout) {
		return 0
	}
	s := &settings{}
	fs := s.flags(stderr)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(prefix))
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	var lines []string
	if err == nil {
		lines, err = s.lines(fs.Args(), stdin)
		err = errors.Join(s.check(len(lines)), err)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return boot.ExitUsage
	}
	d := &desk{settings: s, stdout: stdout}
	if s.logs != "" {
		return d.local(lines)
	}
	return d.runAll(ctx, lines)
}
