package loss

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// windowName formats the start of a window so that names sort by time.
func windowName(d time.Duration) string {
	return fmt.Sprintf("%06.1fs", d.Seconds())
}

// String formats the table as text.
func (t *Table) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRows(w, "from", t.Windows)
	writeRows(w, "route", t.Routes)
	writeRows(w, "entry host", t.Hosts)
	_ = w.Flush()
	fmt.Fprintf(&b, "pauses: %d with another chain, %d without another way at first, %d with neither\n",
		t.Pauses.Rerouted, t.Pauses.NoAlternative, t.Pauses.Unexplained)
	if t.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines were left out by the logs' bound\n", t.Skipped)
	}
	return b.String()
}

// writeRows writes a heading and one line for each row.
func writeRows(w *tabwriter.Writer, heading string, rows []Row) {
	fmt.Fprint(w, heading, "\t")
	for _, name := range headings {
		fmt.Fprint(w, name, "\t")
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprint(w, r.Name, "\t")
		for _, n := range r.Counts {
			fmt.Fprint(w, n, "\t")
		}
		fmt.Fprintln(w)
	}
}
