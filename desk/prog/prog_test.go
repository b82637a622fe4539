package prog_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/desk/prog"
	"fuchsiashelf.dev/parts/wire"
)

// fakeEntryHost answers commands with the elements of answers, in order. For nil
// it returns an error without an answer.
type fakeEntryHost struct {
	wire.DRPCDeskUnimplementedServer
	mu      sync.Mutex
	answers []*wire.Answer
	lines   []*wire.Line
}

func (e *fakeEntryHost) Run(ctx context.Context, line *wire.Line) (*wire.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, line)
	next := e.answers[0]
	e.answers = e.answers[1:]
	if next == nil {
		return nil, context.Canceled
	}
	next.Id = line.Id
	return next, nil
}

func startEntryHost(c *quicktest.C, answers ...*wire.Answer) (*fakeEntryHost, string) {
	e := &fakeEntryHost{answers: answers}
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterDesk(mux, e), quicktest.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener); close(done) }()
	c.Cleanup(func() { cancel(); <-done })
	return e, listener.Addr().String()
}

func runMain(stdin string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	status := prog.Main(context.Background(), args, strings.NewReader(stdin), &out, &errs)
	return status, out.String(), errs.String()
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	c := quicktest.New(t)
	status, _, errs := runMain("", "-entry", "nowhere,10.0.0.1:7", "-operator", "", "-o", "xml", "-id", "a b", "-timeout", "-1s", "show", "pools")
	c.Assert(status, quicktest.Equals, 2)
	for _, want := range []string{
		`-entry: "nowhere" is not host:port`, "-secret: missing", "-operator: missing",
		"-o: want text or json", "-id: ", "-timeout: -1s is not above 0",
	} {
		c.Assert(errs, quicktest.Contains, want)
	}
	c.Assert(strings.Contains(errs, "10.0.0.1:7"), quicktest.IsFalse)
	c.Setenv("FSDESK_SECRET", "from-the-environment")
	_, _, errs = runMain("", "-entry", "nowhere", "show", "pools")
	c.Assert(errs, quicktest.Equals, "-entry: \"nowhere\" is not host:port\n")
	status, out, _ := runMain("", "version")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "fsdesk 0.1.0\n")
}

// Guards against a script that continues after a refused command: a server could
// be removed although its replacement was never added.
func TestScriptStopsAtRefusedCommand(t *testing.T) {
	c := quicktest.New(t)
	script := filepath.Join(t.TempDir(), "script")
	c.Assert(os.WriteFile(script, []byte("# swap\nadd server b1 to pool lake\n\nremove server a1 from pool lake\nshow pools\n"), 0o600), quicktest.IsNil)
	answers := func() []*wire.Answer {
		return []*wire.Answer{
			{Outcome: "done", Revision: 7},
			{Outcome: "refused", Message: "no", Column: 15},
			{Outcome: "done", Revision: 9, Rows: []string{"pool lake"}},
		}
	}
	e, address := startEntryHost(c, answers()...)
	status, out, _ := runMain("", "-entry", address, "-secret", "s", "-f", script)
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Equals, `> add server b1 to pool lake
done at revision 7
> remove server a1 from pool lake
                ^
refused: no
stopped, 1 lines not sent
`)
	// The second command carries the revision that the first one created.
	c.Assert(e.lines[1].Seen, quicktest.Equals, uint64(7))
	e, address = startEntryHost(c, answers()...)
	status, out, _ = runMain("", "-entry", address, "-secret", "s", "-f", script, "-continue", "-o", "json")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(len(e.lines), quicktest.Equals, 3)
	c.Assert(strings.Count(out, "\n"), quicktest.Equals, 3)
	c.Assert(out, quicktest.Contains, `"outcome":"refused"`)
}

// Guards against reporting a command as refused, or sending it again under a new
// ID, when an entry host disconnects after it received the command: the command
// may have taken effect.
func TestLostAnswerIsResentWithSameID(t *testing.T) {
	c := quicktest.New(t)
	first, firstAddr := startEntryHost(c, nil)
	second, secondAddr := startEntryHost(c, &wire.Answer{Outcome: "done", Revision: 3})
	status, out, _ := runMain("", "-entry", firstAddr+","+secondAddr, "-secret", "s", "stop", "server", "a1")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "> stop server a1\ndone at revision 3\n")
	c.Assert(second.lines[0].Id, quicktest.Equals, first.lines[0].Id)
	_, firstAddr = startEntryHost(c, nil)
	status, out, _ = runMain("stop server a1", "-entry", firstAddr, "-secret", "s", "-id", "step-4")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Contains, "unknown: ")
	c.Assert(out, quicktest.Contains, "; ask: show command step-4")
}

// Guards against reporting a command as unknown although it could not be sent to
// any entry host: it is refused.
func TestUnreachableEntryHost(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(listener.Close(), quicktest.IsNil)
	status, out, _ := runMain("stop server a1", "-entry", listener.Addr().String(), "-secret", "s")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Contains, "refused: ")
}

// Guards against -logs needing a connection to an entry host: the timeline of a
// request and the losses must be read from the log files alone.
func TestAnswersFromLogFiles(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
		return path
	}
	log1 := write("e1.log", `{"time":"2026-12-03T10:00:02Z","msg":"request: ended","node":"e1","request":"9c41","server":"i-1"}`+"\n")
	log2 := write("e2.log", `{"time":"2026-12-03T10:00:01Z","msg":"stream: tried again","node":"e2","request":"9c41"}`+"\n")
	status, out, _ := runMain("", "-logs", log1+","+log2, "show", "timeline", "request", "9c41")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "> show timeline request 9c41\n"+
		"* 10:00:01.000000 e2 stream: tried again\n"+
		"* 10:00:02.000000 e1 request: ended server=i-1\n")
	status, out, _ = runMain("", "-logs", log1+","+log2, "show", "losses")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Contains, "entry host")
	status, out, _ = runMain("", "-logs", log1, "show", "timeline", "request", "unknown")
	c.Assert(status, quicktest.Not(quicktest.Equals), 0)
	c.Assert(out, quicktest.Contains, "no line names the request unknown")
	status, out, _ = runMain("", "-logs", log1, "stop", "server", "a1")
	c.Assert(status, quicktest.Not(quicktest.Equals), 0)
	c.Assert(out, quicktest.Contains, "show timeline request ID")
}
