package sess

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/sever"
)

// init adds the commands that cut entry hosts off from all backend servers.
func init() {
	maps.Copy(commands, cutCommands)
}

var cutCommands = map[string]scriptFunc{
	// severable: allows entry hosts to be cut off from all servers; must precede town.
	"severable": command("severable", func(s *session, _ []string) (string, error) { s.EnableCuts(); return "", nil }),
	// sever ENTRY MODE: cuts an entry host off, see sever.ParseMode.
	"sever": command("sever", func(s *session, args []string) (string, error) {
		mode, err := sever.ParseMode(args[1])
		if err != nil {
			return "", err
		}
		return "", s.CutOff(args[0], mode)
	}),
	// attempts ENTRY OTHER: sends requests to both entry hosts for a while, and then as
	// many again, of which the first must serve nearly as large a share as the other.
	"attempts": command("attempts", func(s *session, args []string) (string, error) { return s.attempts(args[0], args[1]) }),
}

const (
	// stableWindow is the time from the beginning of a cut until requests at a host that is
	// cut off must be served.
	stableWindow = 3 * time.Second
	// attemptInterval is the interval between two requests at a host, and attemptCount how
	// many are counted.
	attemptInterval = 60 * time.Millisecond
	attemptCount    = 40
	// minServedShare is the least share of the requests that a host that is cut off serves,
	// as a fraction of the share of the other.
	minServedShare = 2.0 / 3
)

// attempts compares the requests that two entry hosts serve at the first attempt.
func (s *session) attempts(entry, other string) (string, error) {
	s.firstAttempts(int(stableWindow/attemptInterval), entry, other)
	served := s.firstAttempts(attemptCount, entry, other)
	failed, allowed := attemptCount-served[entry], 10+2*attemptCount/50
	if failed > allowed && float64(served[entry]) < minServedShare*float64(served[other]) {
		return "", fmt.Errorf("%s served %d of %d, %s %d", entry, served[entry], attemptCount, other, served[other])
	}
	return "enough served\n", nil
}

// firstAttempts sends a number of requests to each of the entry hosts, and returns how many
// each has served.
func (s *session) firstAttempts(n int, entries ...string) map[string]int {
	var mu sync.Mutex
	var requests sync.WaitGroup
	served := map[string]int{}
	for i := range n {
		time.Sleep(attemptInterval)
		for _, entry := range entries {
			requests.Go(func() {
				ok := s.firstAttempt(entry, i)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					served[entry]++
				}
			})
		}
	}
	requests.Wait()
	return served
}

// firstAttempt sends a request, of one of three kinds, and reports whether it is served.
func (s *session) firstAttempt(entry string, i int) bool {
	switch i % 3 {
	case 0:
		resp, err := s.Generate(entry, defaultTeam, "assist", fmt.Sprintf("first attempt %d", i), 3)
		return err == nil && strings.HasPrefix(resp.Check(fmt.Sprintf("first attempt %d", i), clusterLayers, 3), "whole")
	case 1:
		reply, err := s.Call(entry, defaultTeam, "POST", "/notes", "", "x")
		return err == nil && reply.Status == 200
	}
	reply, err := s.Call(entry, defaultTeam, "POST", "/booking", fmt.Sprintf("%s-%d-%d", entry, i, time.Now().UnixNano()), "x")
	return err == nil && reply.Status == 200
}
