package sess

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/sess/procs"
)

// session is the state of one script.
type session struct {
	*procs.Cluster
	// transcript is the output of the commands of the script.
	transcript strings.Builder
	jobs       map[string]*job
	// tickets holds the tickets issued by entry hosts, by label.
	tickets      map[string]string
	streamGroups map[string]*streamGroup
	// markedCounts holds the request counts of servers at the command mark.
	markedCounts map[string]int
}

// job is a command that runs concurrently with the script.
type job struct {
	done chan struct{}
	out  string
	err  error
}

type sessionKeyType struct{}

var sessionKey sessionKeyType

// scriptFunc runs one command of a script.
type scriptFunc = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the commands of the scripts. Each command that prints also
// appends itself and its output to the transcript.
var commands = map[string]scriptFunc{
	// town starts the default cluster: two failure domains, a store, two
	// engines for each of the layer ranges 0-8, 8-16 and 16-24 (one in each
	// domain), two plain services, four entry hosts, and the routes to them.
	"town": command("town", func(s *session, _ []string) (string, error) { return "", s.startCluster() }),
	// store TEAM...: starts the store with these teams.
	"store": command("store", func(s *session, args []string) (string, error) { return "", s.StartStore(args...) }),
	// engine NAME DOMAIN FIRST END [flags]
	"engine": command("engine", func(s *session, args []string) (string, error) {
		first, _ := strconv.Atoi(args[2])
		end, _ := strconv.Atoi(args[3])
		return "", s.StartEngine(args[0], domain.Name(args[1]), first, end, args[4:]...)
	}),
	// plain NAME DOMAIN
	"plain": command("plain", func(s *session, args []string) (string, error) {
		return "", s.StartPlain(args[0], domain.Name(args[1]))
	}),
	// entry NAME DOMAIN [flags]: starts an entry host.
	"entry": command("entry", func(s *session, args []string) (string, error) {
		return "", s.StartEntry(args[0], domain.Name(args[1]), args[2:]...)
	}),
	// ready ENTRY...: waits until the entry hosts report that they are ready.
	"ready": command("ready", func(s *session, args []string) (string, error) {
		for _, name := range args {
			if err := s.Ready(name); err != nil {
				return "", err
			}
		}
		return "", nil
	}),
	// restart NAME: starts an exited process again at its addresses.
	"restart": command("restart", func(s *session, args []string) (string, error) {
		_, err := s.Restart(args[0])
		return "", err
	}),
	// list NAME DOMAIN live|leaving, unlist NAME
	"list": command("list", func(s *session, args []string) (string, error) {
		return "", s.SetHost(args[0], domain.Name(args[1]), host.State(args[2]))
	}),
	"unlist": command("unlist", func(s *session, args []string) (string, error) { return "", s.DeleteHost(args[0]) }),
	// fault NAME KIND [VALUE [COUNT]], heal NAME
	"fault": command("fault", func(s *session, args []string) (string, error) {
		args = append(args, "", "0")
		count, _ := strconv.Atoi(args[3])
		return "", s.InjectFault(args[0], args[1], args[2], count)
	}),
	"heal": command("heal", func(s *session, args []string) (string, error) { return "", s.ClearFaults(args[0]) }),
	// signal NAME KILL|STOP|CONT|TERM
	"signal": command("signal", func(s *session, args []string) (string, error) { return "", s.signal(args[0], args[1]) }),
	// exited NAME: waits until the process has exited and prints its status.
	"exited": command("exited", func(s *session, args []string) (string, error) {
		p, err := s.Get(args[0])
		if err != nil {
			return "", err
		}
		status, err := p.Wait()
		return fmt.Sprintf("exit status %d\n", status), err
	}),
	// desk ENTRY LINE...: runs a command through fsdesk and prints its output.
	"desk": command("desk", func(s *session, args []string) (string, error) {
		return s.RunDesk(args[0], args[1:]...)
	}),
	// ask ENTRY TEAM PROMPT MAX: sends a model request and prints its outcome.
	"ask": command("ask", func(s *session, args []string) (string, error) { return s.ask(args) }),
	// call ENTRY TEAM METHOD URI [ID [BODY]]: calls a plain service and prints
	// status, verdict and body.
	"call": command("call", func(s *session, args []string) (string, error) { return s.call(args) }),
	// counts NAME: prints the counters of a stand-in.
	"counts": command("counts", func(s *session, args []string) (string, error) {
		out, err := s.Control(args[0], "GET", "/counts", nil)
		return out + "\n", err
	}),
	// start JOB ask|call|desk|pulse ...: runs a command concurrently with the script.
	"start": command("start", func(s *session, args []string) (string, error) { return "", s.startJob(args) }),
	// await JOB: waits for a job and prints its output.
	"await": command("await", func(s *session, args []string) (string, error) {
		j := s.jobs[args[0]]
		if j == nil {
			return "", fmt.Errorf("no job %s", args[0])
		}
		<-j.done
		return j.out, j.err
	}),
	// until REGEXP COMMAND...: repeats desk, ask, call or counts until its
	// output matches. It prints nothing, since the number of attempts varies.
	"until": quietCommand(func(s *session, args []string) (string, error) {
		pattern, err := regexp.Compile(args[0])
		if err != nil {
			return "", err
		}
		last := ""
		err = procs.WaitFor(strings.Join(args, " "), func() bool {
			last, _ = s.runCommand(args[1:])
			return pattern.MatchString(last)
		})
		if err != nil {
			err = fmt.Errorf("%w; last output: %s", err, last)
		}
		return "", err
	}),
	// session: prints the transcript, for `cmp stdout want`.
	"session": func(ts *testscript.TestScript, _ bool, _ []string) {
		s := ts.Value(sessionKey).(*session)
		fmt.Fprint(ts.Stdout(), s.transcript.String())
	},
}

// command returns a script command that appends its output to the transcript.
func command(name string, run func(s *session, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return script(name, run, true)
}

// quietCommand returns a script command that leaves the transcript unchanged.
func quietCommand(run func(s *session, args []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return script("until", run, false)
}

// script returns a script command that prints the output of run, and appends it
// to the transcript if record is set.
func script(name string, run func(s *session, args []string) (string, error), record bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(sessionKey).(*session)
		out, err := run(s, args)
		if neg == (err == nil) {
			ts.Fatalf("%v: %v", args, err)
		}
		out = s.normalize(out)
		if record && out != "" {
			fmt.Fprintf(&s.transcript, "$ %s %s\n%s", name, strings.Join(args, " "), out)
		}
		fmt.Fprint(ts.Stdout(), out)
	}
}

// replacements are the texts that vary from run to run and their placeholders.
var replacements = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`fst1\.[A-Za-z0-9_-]+`), "TICKET"},
	{regexp.MustCompile(`\b[0-9a-f]{16}\b`), "ID"},
	{regexp.MustCompile(`\d\d:\d\d:\d\d\.\d+`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
}

// normalize replaces addresses and other texts that vary from run to run.
func (s *session) normalize(out string) string {
	for _, p := range s.All() {
		for kind, address := range p.Addresses {
			out = strings.ReplaceAll(out, address, p.Name+"-"+kind)
		}
	}
	for _, r := range replacements {
		out = r.pattern.ReplaceAllString(out, r.with)
	}
	return out
}

const (
	clusterLayers = 24
	defaultTeam   = "cantata"
)

// startCluster starts the default cluster.
func (s *session) startCluster() error {
	if err := s.StartStore(defaultTeam, "lyra"); err != nil {
		return err
	}
	var starts errgroup.Group
	for i, dom := range []domain.Name{"a", "b"} {
		for stage := range 3 {
			name := fmt.Sprintf("%s%d", dom, stage+1)
			starts.Go(func() error { return s.StartEngine(name, dom, stage*8, stage*8+8) })
		}
		starts.Go(func() error { return s.StartPlain(fmt.Sprintf("p%d", i+1), dom) })
	}
	for i, dom := range []domain.Name{"a", "a", "b", "b"} {
		starts.Go(func() error { return s.StartEntry(fmt.Sprintf("e%d", i+1), dom) })
	}
	if err := starts.Wait(); err != nil {
		return err
	}
	return s.configureCluster()
}

// configureCluster writes the configuration of the default cluster and waits
// until all entry hosts are ready.
func (s *session) configureCluster() error {
	for _, line := range []string{
		"create service assist model lotus",
		"create service booking path /booking repeat no",
		"create service notes path /notes",
		"create pool lake model lotus layers 24 servers a1 a2 a3 b1 b2 b3",
		"create pool books servers p1 p2",
		"route service assist to pool lake",
		"route service booking to pool books",
		"route service notes to pool books",
	} {
		var out string
		err := procs.WaitFor(line, func() bool {
			out, _ = s.RunDesk("e1", line)
			// A command that not all entry hosts have confirmed in time has
			// taken effect nevertheless; sent again, it would be refused.
			return strings.Contains(out, "\ndone") || strings.Contains(out, "\npartly")
		})
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
	}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		if err := s.Ready(name); err != nil {
			return err
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

func (s *session) signal(name, which string) error {
	p, err := s.Get(name)
	if err != nil {
		return err
	}
	if which == "STOP" {
		return p.Freeze()
	}
	if err := p.Signal(signals[which]); err != nil {
		return err
	}
	if which == "KILL" {
		_, err = p.Wait()
	}
	return err
}

// pulse stops a process again and again. The arguments are its name, how long it is
// stopped and how long it runs in between, and how often it is stopped.
func (s *session) pulse(args []string) error {
	p, err := s.Get(args[0])
	if err != nil {
		return err
	}
	stopped, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	running, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	count, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	for range count {
		wait.For(context.Background(), running)
		if err := p.Freeze(); err != nil {
			return err
		}
		wait.For(context.Background(), stopped)
		if err := p.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) ask(args []string) (string, error) {
	maxTokens, err := strconv.Atoi(args[3])
	if err != nil {
		return "", err
	}
	resp, err := s.Generate(args[0], args[1], "assist", args[2], maxTokens)
	if err != nil {
		return "connection lost\n", nil
	}
	return resp.Check(args[2], clusterLayers, maxTokens) + "\n", nil
}

func (s *session) call(args []string) (string, error) {
	args = append(args, "", "")
	reply, err := s.Call(args[0], args[1], args[2], args[3], s.resolveTicket(args[4]), args[5])
	if err != nil {
		return "connection lost\n", nil
	}
	body := serverField.ReplaceAllString(strings.TrimSpace(reply.Body), "")
	return fmt.Sprintf("%d %s %s\n", reply.Status, reply.Verdict, body), nil
}

// serverField is removed from the transcript, because the server of a pool that
// receives a call is chosen at random.
var serverField = regexp.MustCompile(`"server":"[^"]*",`)

// runCommand runs one of the commands that only print.
func (s *session) runCommand(args []string) (string, error) {
	switch args[0] {
	case "desk":
		return s.RunDesk(args[1], args[2:]...)
	case "ask":
		return s.ask(args[1:])
	case "call":
		return s.call(args[1:])
	case "ran":
		return s.executions(args[1:])
	case "orders":
		return s.appliedOrders(args[1])
	case "counts":
		return s.Control(args[1], "GET", "/counts", nil)
	case "pulse":
		return "", s.pulse(args[1:])
	}
	return "", fmt.Errorf("no command %s to run", args[0])
}

func (s *session) startJob(args []string) error {
	j := &job{done: make(chan struct{})}
	if s.jobs == nil {
		s.jobs = map[string]*job{}
	}
	s.jobs[args[0]] = j
	go func() {
		defer close(j.done)
		j.out, j.err = s.runCommand(args[1:])
	}()
	return nil
}

// raceReport starts every report of the race detector.
const raceReport = "WARNING: DATA RACE"

// leakedSecret returns a secret that a log contains, or "".
func leakedSecret(log string) string {
	for _, secret := range []string{procs.PeerSecret, procs.DeskSecret, procs.Token(defaultTeam)} {
		if strings.Contains(log, secret) {
			return secret
		}
	}
	return ""
}

// finish stops the processes and fails the script if a log contains a secret or
// a report of the race detector.
func (s *session) finish(env *testscript.Env) {
	if err := s.Stop(); err != nil {
		env.T().Log("end:", err)
	}
	var once sync.Once
	for _, p := range s.All() {
		text, err := os.ReadFile(filepath.Join(s.Dir, p.Name+".log"))
		if secret := leakedSecret(string(text)); secret != "" {
			env.T().Fatal(p.Name, "logged the secret", secret)
		}
		if err == nil && strings.Contains(string(text), raceReport) {
			once.Do(func() { env.T().Log(string(text)) })
			env.T().Fatal(p.Name, "raced")
		}
	}
}
