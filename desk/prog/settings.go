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

// envPrefix starts the names of the environment variables that set flags.
const envPrefix = "FSDESK"

// settings holds the values of the flags.
type settings struct {
	entryHosts, secret, operator, output, file, id, logs string

	seenRevision uint64
	keepGoing    bool
	timeout      time.Duration
	certs        certs.Bundle
}

func (s *settings) flags(stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("fsdesk", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&s.entryHosts, "entry", "", "host:port of the operators' listener of an entry host; more, separated by commas, are tried in turn (required)")
	fs.StringVar(&s.secret, "secret", "", "secret of the operators (required)")
	fs.StringVar(&s.operator, "operator", "desk", "who sends the lines")
	fs.StringVar(&s.output, "o", "text", "output: text or json")
	fs.StringVar(&s.file, "f", "", "file with one line a step; - for standard input, also used when no line is given")
	fs.StringVar(&s.id, "id", "", "id of the line, to send one again that was answered with unknown; for one line only")
	fs.StringVar(&s.logs, "logs", "", "files with the output of entry hosts, separated by commas; show timeline request ID and show losses are answered from them, and no entry host is asked")
	fs.Uint64Var(&s.seenRevision, "seen", 0, "revision that the operator saw; 0 for that of the last answer in a script, and for the newest before the first")
	fs.BoolVar(&s.keepGoing, "continue", false, "go on after a line that is not done")
	fs.DurationVar(&s.timeout, "timeout", 30*time.Second, "longest wait for one answer")
	s.certs.Flags(fs)
	return fs
}

// idPattern matches a valid command ID.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

// check returns all errors of the settings joined, each starting with the name
// of its flag. With -logs, the other flags are not used and not checked.
func (s *settings) check(lines int) error {
	if s.logs != "" {
		return nil
	}
	var errs []error
	for _, entry := range s.entryHostList() {
		if _, _, err := net.SplitHostPort(entry); err != nil {
			errs = append(errs, fmt.Errorf("-entry: %q is not host:port", entry))
		}
	}
	if s.secret == "" {
		errs = append(errs, errors.New("-secret: missing"))
	}
	if s.operator == "" {
		errs = append(errs, errors.New("-operator: missing"))
	}
	if s.output != "text" && s.output != "json" {
		errs = append(errs, fmt.Errorf("-o: want text or json, not %q", s.output))
	}
	if s.id != "" && !idPattern.MatchString(s.id) {
		errs = append(errs, fmt.Errorf("-id: %q is not an id of 1 to 63 letters, digits and . _ -", s.id))
	}
	if s.id != "" && lines != 1 {
		errs = append(errs, fmt.Errorf("-id: is for one line, not %d", lines))
	}
	if err := s.certs.Check(certs.Desk); err != nil {
		errs = append(errs, err)
	}
	if s.timeout <= 0 {
		errs = append(errs, fmt.Errorf("-timeout: %s is not above 0", s.timeout))
	}
	return errors.Join(errs...)
}

// entryHostList returns the addresses of the entry hosts, in the order in which
// they are tried.
func (s *settings) entryHostList() []string {
	return strings.Split(s.entryHosts, ",")
}

// maxLineBytes limits a line of a script, in bytes.
const maxLineBytes = 1 << 20

// readLines returns the commands to send: the arguments as one command, or the
// lines of a file or of standard input. Empty lines and lines that start with #
// are skipped.
func (s *settings) readLines(args []string, stdin io.Reader) ([]string, error) {
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
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		line := strings.TrimSpace(scan.Text())
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines, scan.Err()
}
