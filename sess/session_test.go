// Package sess contains golden sessions: scripts that start the real programs as
// processes, drive them, and compare the output of the whole session.
package sess

import (
	"flag"
	"maps"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	desk "fuchsiashelf.dev/desk/prog"
	entry "fuchsiashelf.dev/entry/prog"
	load "fuchsiashelf.dev/load/prog"
	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/sess/procs"
	stand "fuchsiashelf.dev/stand/prog"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

func TestMain(m *testing.M) {
	// By default, a program with the race detector sleeps for a second before it
	// exits, which adds up over the many short runs of fsdesk.
	_ = os.Setenv("GORACE", "atexit_sleep_ms=0")
	testscript.Main(m, map[string]func(){
		"fsentry": program(entry.Main),
		"fsdesk":  program(desk.Main),
		"fsstand": program(stand.Main),
		"fsload":  program(load.Main),
	})
}

// program returns the main function of a program as a command of the test binary.
func program(main boot.Main) func() {
	return func() { boot.Run(main) }
}

// TestSession runs the golden sessions in testdata; -update rewrites them.
func TestSession(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Cmds:          allCommands(),
		Setup: func(env *testscript.Env) error {
			s := newSession(env)
			env.Values[sessionKey] = s
			env.Defer(func() { s.finish(env) })
			return nil
		},
	})
}

// allCommands returns the script commands of all areas.
func allCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	all := maps.Clone(commands)
	maps.Copy(all, loadCommands)
	maps.Copy(all, secureCommands)
	maps.Copy(all, deskCommands)
	maps.Copy(all, leaveCommands)
	return all
}

// newSession returns a session whose programs are commands of the test binary.
func newSession(env *testscript.Env) *session {
	path := env.Getenv("PATH")
	return &session{Cluster: &procs.Cluster{
		Dir: env.WorkDir,
		Path: func(program string) (string, error) {
			for dir := range strings.SplitSeq(path, string(os.PathListSeparator)) {
				if file, err := exec.LookPath(dir + "/" + program); err == nil {
					return file, nil
				}
			}
			return "", &exec.Error{Name: program, Err: exec.ErrNotFound}
		},
	}}
}
