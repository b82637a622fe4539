package prog

import (
	"encoding/json"
	"fmt"
	"strings"

	"fuchsiashelf.dev/parts/wire"
)

// jsonAnswer is the output of one command with -o json.
type jsonAnswer struct {
	Line     string   `json:"line"`
	ID       string   `json:"id"`
	Outcome  string   `json:"outcome"`
	Revision uint64   `json:"revision,omitempty"`
	Message  string   `json:"message,omitempty"`
	Column   uint32   `json:"column,omitempty"`
	Missing  []string `json:"missing,omitempty"`
	Rows     []string `json:"rows,omitempty"`
}

// printAnswer prints the answer to a command. In text form, a caret marks the
// column of an error in the echoed command.
func (c *client) printAnswer(text string, a *wire.Answer) {
	if c.output == "json" {
		_ = json.NewEncoder(c.stdout).Encode(jsonAnswer{
			Line: text, ID: a.Id, Outcome: a.Outcome, Revision: a.Revision,
			Message: a.Message, Column: a.Column, Missing: a.Missing, Rows: a.Rows,
		})
		return
	}
	fmt.Fprintln(c.stdout, ">", text)
	if a.Column > 0 {
		fmt.Fprintf(c.stdout, "  %s^\n", strings.Repeat(" ", int(a.Column)-1))
	}
	for _, row := range a.Rows {
		fmt.Fprintln(c.stdout, " ", row)
	}
	fmt.Fprintln(c.stdout, summary(text, a))
}

// summary returns the answer as one line. If the outcome of a command is unknown,
// the line names the command that queries it later.
func summary(text string, a *wire.Answer) string {
	out := a.Outcome
	if a.Revision > 0 {
		out += fmt.Sprintf(" at revision %d", a.Revision)
	}
	if len(a.Missing) > 0 {
		out += ", not confirmed by " + strings.Join(a.Missing, " ")
	}
	if a.Message != "" {
		out += ": " + a.Message
	}
	if isQuery := strings.HasPrefix(text, "show"); a.Outcome == outcomeUnknown && !isQuery {
		out += "; ask: show command " + a.Id
	}
	return out
}
