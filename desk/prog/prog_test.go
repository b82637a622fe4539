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

// entry plays an entry host that answers lines from a list and closes the
// connection without an answer where the list holds nil.
type entry struct {
	wire.DRPCDeskUnimplementedServer
	mu      sync.Mutex
	answers []*wire.Answer
	lines   []*wire.Line
}

func (e *entry) Run(ctx context.Context, line *wire.Line) (*wire.Answer, error) {
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

func serve(c *quicktest.C, answers ...*wire.Answer) (*entry, string) {
	e := &entry{answers: answers}
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

func run(stdin string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	status := prog.Main(context.Background(), args, strings.NewReader(stdin), &out, &errs)
	return status, out.String(), errs.String()
}

func TestSettings(t *testing.T) {
	c := quicktest.New(t)
	status, _, errs := run("", "-entry", "nowhere,10.0.0.1:7", "-operator", "", "-o", "xml", "-id", "a b", "-timeout", "-1s", "show", "pools")
	c.Assert(status, quicktest.Equals, 2)
	for _, want := range []string{
		`-entry: "nowhere" is not host:port`, "-secret: missing", "-operator: missing",
		"-o: want text or json", "-id: ", "-timeout: -1s is not above 0",
	} {
		c.Assert(errs, quicktest.Contains, want)
	}
	c.Assert(strings.Contains(errs, "10.0.0.1:7"), quicktest.IsFalse)
	c.Setenv("FSDESK_SECRET", "from-the-environment")
	_, _, errs = run("", "-entry", "nowhere", "show", "pools")
	c.Assert(errs, quicktest.Equals, "-entry: \"nowhere\" is not host:port\n")
	status, out, _ := run("", "version")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "fsdesk 0.1.0\n")
}

// A step of a script is refused, and the steps after it build on it. Were
// they sent all the same, a server could be stopped whose replacement was
// never added.
func TestScriptStops(t *testing.T) {
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
	e, address := serve(c, answers()...)
	status, out, _ := run("", "-entry", address, "-secret", "s", "-f", script)
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Equals, `> add server b1 to pool lake
done at revision 7
> remove server a1 from pool lake
                ^
refused: no
stopped, 1 lines not sent
`)
	// The second line carries the revision that the first made.
	c.Assert(e.lines[1].Seen, quicktest.Equals, uint64(7))
	e, address = serve(c, answers()...)
	status, out, _ = run("", "-entry", address, "-secret", "s", "-f", script, "-continue", "-o", "json")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(len(e.lines), quicktest.Equals, 3)
	c.Assert(strings.Count(out, "\n"), quicktest.Equals, 3)
	c.Assert(out, quicktest.Contains, `"outcome":"refused"`)
}

// The entry host goes away after it took the line. The line may be in force,
// so it must neither be called refused nor be sent as a new one.
func TestLostAnswer(t *testing.T) {
	c := quicktest.New(t)
	first, one := serve(c, nil)
	second, two := serve(c, &wire.Answer{Outcome: "done", Revision: 3})
	status, out, _ := run("", "-entry", one+","+two, "-secret", "s", "stop", "server", "a1")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "> stop server a1\ndone at revision 3\n")
	c.Assert(second.lines[0].Id, quicktest.Equals, first.lines[0].Id)
	_, one = serve(c, nil)
	status, out, _ = run("stop server a1", "-entry", one, "-secret", "s", "-id", "step-4")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Contains, "unknown: ")
	c.Assert(out, quicktest.Contains, "; ask: show command step-4")
}

// No entry host can be reached, so the line was never sent.
func TestNeverSent(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(listener.Close(), quicktest.IsNil)
	status, out, _ := run("stop server a1", "-entry", listener.Addr().String(), "-secret", "s")
	c.Assert(status, quicktest.Equals, 1)
	c.Assert(out, quicktest.Contains, "refused: ")
}

// The entry hosts are gone, and their output was kept in files. What explains a
// request is found there without asking anybody.
func TestTimelineFromFiles(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
		return path
	}
	one := write("e1.log", `{"time":"2026-12-03T10:00:02Z","msg":"request: ended","node":"e1","request":"9c41","server":"i-1"}`+"\n")
	two := write("e2.log", `{"time":"2026-12-03T10:00:01Z","msg":"stream: tried again","node":"e2","request":"9c41"}`+"\n")
	status, out, _ := run("", "-logs", one+","+two, "show", "timeline", "request", "9c41")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "> show timeline request 9c41\n"+
		"* 10:00:01.000000 e2 stream: tried again\n"+
		"* 10:00:02.000000 e1 request: ended server=i-1\n")
	status, out, _ = run("", "-logs", one+","+two, "show", "losses")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Contains, "entry host")
	status, out, _ = run("", "-logs", one, "show", "timeline", "request", "unknown")
	c.Assert(status, quicktest.Not(quicktest.Equals), 0)
	c.Assert(out, quicktest.Contains, "no line names the request unknown")
	status, out, _ = run("", "-logs", one, "stop", "server", "a1")
	c.Assert(status, quicktest.Not(quicktest.Equals), 0)
	c.Assert(out, quicktest.Contains, "show timeline request ID")
}
