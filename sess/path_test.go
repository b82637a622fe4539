package sess

import (
	"fmt"
	"maps"
	"strconv"
	"strings"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/sess/procs"
)

// init adds the commands for repeated model requests and crashes during them.
func init() {
	maps.Copy(commands, pathCommands)
}

var pathCommands = map[string]scriptFunc{
	// lines ENTRY LINE / LINE...: sends commands of the operators, each until
	// it has taken effect.
	"lines": command("lines", func(s *session, args []string) (string, error) { return "", s.runLines(args[0], args[1:]) }),
	// dies ENTRY SERVER MAX: for each token index of a response, makes the
	// server crash at that index while model requests run, and restarts it.
	"dies": command("dies", func(s *session, args []string) (string, error) {
		maxTokens, err := strconv.Atoi(args[2])
		if err != nil {
			return "", err
		}
		return s.crashAtEachToken(args[0], args[1], maxTokens)
	}),
	// leave ENTRY TEAM PROMPT MAX TOKENS: sends a model request and disconnects
	// after TOKENS tokens.
	"leave": command("leave", func(s *session, args []string) (string, error) {
		maxTokens, err := strconv.Atoi(args[3])
		if err != nil {
			return "", err
		}
		tokens, err := strconv.Atoi(args[4])
		if err != nil {
			return "", err
		}
		return "", s.GenerateAndDisconnect(args[0], args[1], "assist", args[2], maxTokens, tokens)
	}),
	// asks ENTRY TEAM PROMPT MAX TIMES: sends a model request TIMES times, and
	// prints each distinct outcome with its count.
	"asks": command("asks", func(s *session, args []string) (string, error) { return s.askRepeatedly(args) }),
}

// runLines sends commands of the operators, given as words; a slash separates
// two commands.
func (s *session) runLines(entry string, words []string) error {
	for line := range strings.SplitSeq(strings.Join(words, " "), " / ") {
		var out string
		err := procs.WaitFor(line, func() bool {
			out, _ = s.RunDesk(entry, line)
			return strings.Contains(out, "\ndone") || strings.Contains(out, "\npartly")
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
	}
	return nil
}

// crashAtEachToken makes a server crash at each token index in turn. It returns an
// error unless every response is whole.
func (s *session) crashAtEachToken(entry, server string, maxTokens int) (string, error) {
	p, err := s.Get(server)
	if err != nil {
		return "", err
	}
	dom := domain.Name(server[:1])
	for index := range maxTokens {
		if err := s.InjectFault(server, "diesat", strconv.Itoa(index), 0); err != nil {
			return "", err
		}
		prompt := fmt.Sprintf("%s dies at %d", server, index)
		if err := s.askUntilExit(p, entry, prompt, maxTokens); err != nil {
			return "", err
		}
		if p, err = s.Restart(server); err != nil {
			return "", err
		}
		if err := s.SetHost(server, dom, "live"); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("whole at each of %d indexes\n", maxTokens), nil
}

// askUntilExit sends model requests until a process has exited, and returns an
// error unless every response is whole.
func (s *session) askUntilExit(p *procs.Process, entry, prompt string, maxTokens int) error {
	want := fmt.Sprintf("whole, %d tokens", maxTokens)
	var wrong error
	err := procs.WaitFor(p.Name+" ended", func() bool {
		resp, err := s.Generate(entry, defaultTeam, "assist", prompt, maxTokens)
		if err != nil {
			wrong = err
			return true
		}
		if got := resp.Check(prompt, clusterLayers, maxTokens); got != want {
			wrong = fmt.Errorf("%s: %s: %+v", prompt, got, resp.Problem)
			return true
		}
		select {
		case <-p.Exited:
			return true
		default:
			return false
		}
	})
	if wrong != nil {
		return wrong
	}
	return err
}

// askRepeatedly counts the outcomes of repeated model requests.
func (s *session) askRepeatedly(args []string) (string, error) {
	times, err := strconv.Atoi(args[4])
	if err != nil {
		return "", err
	}
	counts := map[string]int{}
	for range times {
		out, err := s.ask(args[:4])
		if err != nil {
			return "", err
		}
		counts[out]++
	}
	out := ""
	for _, line := range procs.SortedKeys(counts) {
		out += fmt.Sprintf("%d times %s", counts[line], line)
	}
	return out, nil
}
