// Package prog implements the program fsload, an open-loop load generator that
// checks and measures every response.
package prog

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"fuchsiashelf.dev/load/internal/stats"
	"fuchsiashelf.dev/parts/boot"
)

// Main runs the program and returns its exit status. The status is 1 if any
// response was wrong, since no load excuses that.
func Main(ctx context.Context, args []string, _ io.Reader, stdout, stderr io.Writer) int {
	if boot.PrintVersion("fsload", args, stdout) {
		return 0
	}
	s, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return boot.ExitUsage
	}
	report, err := s.newRun(stderr).Do(ctx)
	if err == nil {
		err = s.write(report, stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, "fsload:", err)
		return boot.ExitFailed
	}
	if report.Wrong > 0 {
		return boot.ExitFailed
	}
	return 0
}

// write writes the report to stdout and the time series to its file.
func (s *settings) write(r *stats.Report, stdout io.Writer) error {
	if s.series != "" {
		if err := writeSeries(s.series, r); err != nil {
			return err
		}
	}
	if s.format == "json" {
		return json.NewEncoder(stdout).Encode(r)
	}
	r.Text(stdout)
	return nil
}

// writeSeries writes the time series as JSON if the name ends in .json, else as CSV.
func writeSeries(name string, r *stats.Report) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if strings.HasSuffix(name, ".json") {
		return json.NewEncoder(file).Encode(r.Series)
	}
	return r.CSV(file)
}
