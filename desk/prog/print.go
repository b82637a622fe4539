package prog

import (
	"encoding/json"
	"fmt"
	"strings"

	"fuchsiashelf.dev/parts/wire"
)

// record is an answer in JSON.
type record struct {
	Line     string   `json:"line"`
	ID       string   `json:"id"`
	Outcome  string   `json:"outcome"`
	Revision uint64   `json:"revision,omitempty"`
	Message  string   `json:"message,omitempty"`
	Column   uint32   `json:"column,omitempty"`
	Missing  []string `json:"missing,omitempty"`
	Rows     []string `json:"rows,omitempty"`
}

func (d *desk) print(text string, a *wire.Answer) {
	if d.output == "json" {
		_ = json.NewEncoder(d.stdout).Encode(record{
			Line: text, ID: a.Id, Outcome: a.Outcome, Revision: a.Revision,
			Message: a.Message, Column: a.Column, Missing: a.Missing, Rows: a.Rows,
		})
		return
	}
	fmt.Fprintln(d.stdout, ">", text)
	if a.Column > 0 {
		fmt.Fprintf(d.stdout, "  %s^\n", strings.Repeat(" ", int(a.Column)-1))
	}
	for _, row := range a.Rows {
		fmt.Fprintln(d.stdout, " ", row)
	}
	fmt.Fprintln(d.stdout, summary(text, a))
}

// summary is the answer in one line.
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
	if question := strings.HasPrefix(text, "show"); a.Outcome == unknown && !question {
		out += "; ask: show command " + a.Id
	}
	return out
}
