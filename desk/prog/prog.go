// Package prog is the program fsdesk: the operators' command line. It sends
// each line to an entry host and prints the one answer to it.
package prog

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/parts/wire"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit statuses.
const (
	exitNotDone  = 1
	exitSettings = 2
)

// settings are the settings of the command line.
type settings struct {
	entry, secret, operator, output, file string
	timeout                               time.Duration
}

func (s *settings) flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("fsdesk", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.entry, "entry", "", "host:port of the operators' listener of an entry host (required)")
	fs.StringVar(&s.secret, "secret", "", "secret of the operators (required)")
	fs.StringVar(&s.operator, "operator", "desk", "who sends the lines")
	fs.StringVar(&s.output, "o", "text", "output: text or json")
	fs.StringVar(&s.file, "f", "", "file with one line a step; - for standard input")
	fs.DurationVar(&s.timeout, "timeout", 30*time.Second, "longest wait for one answer")
	return fs
}

func (s *settings) check() error {
	var faults []error
	if _, _, err := net.SplitHostPort(s.entry); err != nil {
		faults = append(faults, fmt.Errorf("-entry: %q is not host:port", s.entry))
	}
	if s.secret == "" {
		faults = append(faults, errors.New("-secret: missing"))
	}
	if s.output != "text" && s.output != "json" {
		faults = append(faults, fmt.Errorf("-o: want text or json, not %q", s.output))
	}
	if s.timeout <= 0 {
		faults = append(faults, fmt.Errorf("-timeout: %s is not above 0", s.timeout))
	}
	return errors.Join(faults...)
}

// Main runs the program and returns its exit status.
func Main(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "version" {
		fmt.Fprintln(stdout, "fsdesk", Version)
		return 0
	}
	s := &settings{}
	fs := s.flags(stderr)
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("FSDESK"))
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		err = s.check()
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	lines, err := s.lines(fs.Args(), stdin)
	if err != nil {
		fmt.Fprintln(stderr, "fsdesk:", err)
		return exitSettings
	}
	d := &desk{settings: s, stdout: stdout}
	return d.runAll(ctx, lines)
}

// lines returns the lines to send: the arguments as one line, or those of a
// file. Empty lines and those that start with # are left out.
func (s *settings) lines(args []string, stdin io.Reader) ([]string, error) {
	if len(args) > 0 {
		return []string{strings.Join(args, " ")}, nil
	}
	in := stdin
	if s.file != "" && s.file != "-" {
		f, err := os.Open(s.file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var lines []string
	scan := bufio.NewScanner(in)
	for scan.Scan() {
		line := strings.TrimSpace(scan.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines, scan.Err()
}

type desk struct {
	*settings
	stdout io.Writer
}

func (d *desk) runAll(ctx context.Context, lines []string) int {
	status := 0
	for _, text := range lines {
		answer := d.run(ctx, text)
		d.print(text, answer)
		if answer.Outcome != "done" {
			status = exitNotDone
		}
	}
	return status
}

func (d *desk) run(ctx context.Context, text string) *wire.Answer {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	line := &wire.Line{Secret: d.secret, Id: newID(), Operator: d.operator, Text: text}
	dialer := net.Dialer{Timeout: d.timeout}
	raw, err := dialer.DialContext(ctx, "tcp", d.entry)
	if err != nil {
		return &wire.Answer{Outcome: "refused", Id: line.Id, Message: err.Error()}
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	answer, err := wire.NewDRPCDeskClient(conn).Run(ctx, line)
	if err != nil {
		return &wire.Answer{Outcome: "unknown", Id: line.Id, Message: err.Error()}
	}
	return answer
}

// idBytes makes ids that no two operators draw alike.
const idBytes = 8

func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// record is an answer in JSON.
type record struct {
	Line     string   `json:"line"`
	ID       string   `json:"id"`
	Outcome  string   `json:"outcome"`
	Revision uint64   `json:"revision,omitempty"`
	Message  string   `json:"message,omitempty"`
	Column   uint32   `json:"column,omitempty"`
	Missing  []string `json:"missing,omitempty"`
	Rows     []string `json:"rows,omitempty"`
}

func (d *desk) print(text string, a *wire.Answer) {
	if d.output == "json" {
		_ = json.NewEncoder(d.stdout).Encode(record{
			Line: text, ID: a.Id, Outcome: a.Outcome, Revision: a.Revision,
			Message: a.Message, Column: a.Column, Missing: a.Missing, Rows: a.Rows,
		})
		return
	}
	fmt.Fprintln(d.stdout, ">", text)
	if a.Column > 0 {
		fmt.Fprintf(d.stdout, "  %s^\n", strings.Repeat(" ", int(a.Column)-1))
	}
	for _, row := range a.Rows {
		fmt.Fprintln(d.stdout, " ", row)
	}
	fmt.Fprintln(d.stdout, summary(a))
}

func summary(a *wire.Answer) string {
	out := a.Outcome
	if a.Revision > 0 {
		out += fmt.Sprintf(" at revision %d", a.Revision)
	}
	if len(a.Missing) > 0 {
		out += ", not confirmed by " + strings.Join(a.Missing, " ")
	}
	if a.Message != "" {
		out += ": " + a.Message
	}
	if a.Outcome == "unknown" {
		out += "; ask: show command " + a.Id
	}
	return out
}
