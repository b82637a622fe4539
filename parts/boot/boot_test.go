package boot_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/boot"
)

// serveVariable makes the test binary run serve in place of the tests.
const serveVariable = "BOOT_TEST_SERVE"

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		boot.Serve(serve)
	}
	os.Exit(m.Run())
}

// serve says that it is ready, and reports with its status whether writing failed after a line of input.
func serve(_ context.Context, _ []string, stdin io.Reader, stdout, _ io.Writer) int {
	fmt.Fprintln(stdout, "ready")
	_, _ = bufio.NewReader(stdin).ReadString('\n')
	if _, err := fmt.Fprintln(stdout, "served"); err == nil {
		return boot.ExitFailed
	}
	return 0
}

// Guards against a program that ends because nobody reads its output, or because of SIGHUP.
func TestServeOutlivesItsOutput(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), serveVariable+"=1")
	stdin, err := cmd.StdinPipe()
	qt.Assert(t, err, qt.IsNil)
	stdout, err := cmd.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Start(), qt.IsNil)
	line, err := bufio.NewReader(stdout).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "ready\n")
	qt.Assert(t, stdout.Close(), qt.IsNil)
	qt.Assert(t, cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = io.WriteString(stdin, "\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cmd.Wait(), qt.IsNil)
}
