package sess

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	desk "fuchsiashelf.dev/desk/prog"
	entry "fuchsiashelf.dev/entry/prog"
	load "fuchsiashelf.dev/load/prog"
	"fuchsiashelf.dev/parts/boot"
	stand "fuchsiashelf.dev/stand/prog"
)

// settingsPage is generated from the help texts of the programs.
const settingsPage = "../docs/SETTINGS.md"

// helpPrograms are the programs that the page describes.
var helpPrograms = []struct {
	program string
	run     boot.Main
	// roles are the subcommands; a program without any has one empty role.
	roles []string
}{
	{"fsentry", entry.Main, []string{""}},
	{"fsdesk", desk.Main, []string{""}},
	{"fsload", load.Main, []string{""}},
	{"fsstand", stand.Main, []string{"store", "engine", "plain"}},
}

// TestSettingsPage compares docs/SETTINGS.md with the flags of the programs;
// -update rewrites it.
func TestSettingsPage(t *testing.T) {
	c := quicktest.New(t)
	var page strings.Builder
	page.WriteString(settingsHeader)
	for _, h := range helpPrograms {
		for _, role := range h.roles {
			title := strings.TrimSpace(h.program + " " + role)
			help := help(h.run, role)
			c.Assert(help, quicktest.Contains, "-", quicktest.Commentf("%s has no help", title))
			fmt.Fprintf(&page, "\n## %s\n\nEnvironment: `%s_*`\n\n```\n%s```\n", title, strings.ToUpper(h.program), help)
		}
	}
	if *update {
		c.Assert(os.WriteFile(settingsPage, []byte(page.String()), 0o644), quicktest.IsNil)
		return
	}
	got, err := os.ReadFile(settingsPage)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(got), quicktest.Equals, page.String())
}

const settingsHeader = `# Settings

Every setting is a flag, and an environment variable named after the program
and the flag: ` + "`-max-body`" + ` of fsentry is ` + "`FSENTRY_MAX_BODY`" + `. A flag goes before
the environment. Settings are checked at the start; all faults are told at
once, each with its flag, and the exit status is then 2. Pass secrets through
the environment: the arguments of a process can be read by others on its host.
No secret is ever logged. ` + "`-h`" + ` prints the settings, ` + "`version`" + ` the version.

This page is written by ` + "`cd sess && go test -run TestSettingsPage . -update`" + `.
`

// help returns the output of a program for -h.
func help(run boot.Main, role string) string {
	args := []string{"-h"}
	if role != "" {
		args = []string{role, "-h"}
	}
	var out, errs bytes.Buffer
	run(context.Background(), args, strings.NewReader(""), &out, &errs)
	return strings.TrimLeft(out.String()+errs.String(), "\n")
}

// TestVersions checks that every program prints its version.
func TestVersions(t *testing.T) {
	for _, h := range helpPrograms {
		var out, errs bytes.Buffer
		status := h.run(context.Background(), []string{"version"}, strings.NewReader(""), &out, &errs)
		quicktest.Assert(t, status, quicktest.Equals, 0)
		quicktest.Assert(t, out.String(), quicktest.Matches, h.program+` \d+\.\d+\.\d+\n`)
	}
}
