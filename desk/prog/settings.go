package prog

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/certs"
)

// prefix is the prefix of the environment variables.
const prefix = "FSDESK"

// settings are the settings of the command line.
type settings struct {
	entry, secret, operator, output, file, id, logs string

	seen    uint64
	more    bool
	timeout time.Duration
	certs   certs.Bundle
}

func (s *settings) flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("fsdesk", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.entry, "entry", "", "host:port of the operators' listener of an entry host; more, separated by commas, are tried in turn (required)")
	fs.StringVar(&s.secret, "secret", "", "secret of the operators (required)")
	fs.StringVar(&s.operator, "operator", "desk", "who sends the lines")
	fs.StringVar(&s.output, "o", "text", "output: text or json")
	fs.StringVar(&s.file, "f", "", "file with one line a step; - for standard input, also used when no line is given")
	fs.StringVar(&s.id, "id", "", "id of the line, to send one again that was answered with unknown; for one line only")
	fs.StringVar(&s.logs, "logs", "", "files with the output of entry hosts, separated by commas; show timeline request ID and show losses are answered from them, and no entry host is asked")
	fs.Uint64Var(&s.seen, "seen", 0, "revision that the operator saw; 0 for that of the last answer in a script, and for the newest before the first")
	fs.BoolVar(&s.more, "continue", false, "go on after a line that is not done")
	fs.DurationVar(&s.timeout, "timeout", 30*time.Second, "longest wait for one answer")
	s.certs.Flags(fs)
	return fs
}

// idForm is the form of a line's id.
var idForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// check returns all faults of the settings at once, each with the name of its
// flag.
func (s *settings) check(lines int) error {
	if s.logs != "" {
		return nil
	}
	var faults []error
	for _, entry := range s.entries() {
		if _, _, err := net.SplitHostPort(entry); err != nil {
			faults = append(faults, fmt.Errorf("-entry: %q is not host:port", entry))
		}
	}
	if s.secret == "" {
		faults = append(faults, errors.New("-secret: missing"))
	}
	if s.operator == "" {
		faults = append(faults, errors.New("-operator: missing"))
	}
	if s.output != "text" && s.output != "json" {
		faults = append(faults, fmt.Errorf("-o: want text or json, not %q", s.output))
	}
	if s.id != "" && !idForm.MatchString(s.id) {
		faults = append(faults, fmt.Errorf("-id: %q is not an id of 1 to 63 letters, digits and . _ -", s.id))
	}
	if s.id != "" && lines != 1 {
		faults = append(faults, fmt.Errorf("-id: is for one line, not %d", lines))
	}
	if err := s.certs.Check(certs.Desk); err != nil {
		faults = append(faults, err)
	}
	if s.timeout <= 0 {
		faults = append(faults, fmt.Errorf("-timeout: %s is not above 0", s.timeout))
	}
	return errors.Join(faults...)
}

// entries returns the entry hosts to try, in order.
func (s *settings) entries() []string {
	return strings.Split(s.entry, ",")
}

// maxScriptLine bounds one line of a script, in bytes.
const maxScriptLine = 1 << 20

// lines returns the lines to send: the arguments as one line, or those of a
// file. Empty lines and those that start with # are left out.
func (s *settings) lines(args []string, stdin io.Reader) ([]string, error) {
	if len(args) > 0 {
		if s.file != "" {
			return nil, errors.New("-f: a line was given as well")
		}
		return []string{strings.Join(args, " ")}, nil
	}
	in := stdin
	if s.file != "" && s.file != "-" {
		f, err := os.Open(s.file)
		if err != nil {
			return nil, fmt.Errorf("-f: %w", err)
		}
		defer f.Close()
		in = f
	}
	var lines []string
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, maxScriptLine)
	for scan.Scan() {
		line := strings.TrimSpace(scan.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines, scan.Err()
}
