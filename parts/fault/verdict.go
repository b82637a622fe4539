// Package fault holds the errors of the request path.
//
// Every error carries a [Verdict], which says whether the request it belongs
// to may have run on a backend server. A verdict starts as [NotRun] and only
// ever weakens: once the first byte of a request could have left for a
// backend server, nothing turns it back into [NotRun] but the backend
// server's own word.
package fault

import "fmt"

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts, from the strongest refusal to a known run. The zero value is
// MayHaveRun, so that a forgotten verdict promises nothing.
const (
	// MayHaveRun means that the request left for a backend server and its
	// outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run or will run the request.
	NotRun
	// Ran means that a backend server is known to have run the request.
	Ran
)

// Header is the HTTP header in which a caller sees the verdict.
const Header = "Fuchsia-Verdict"

// String returns the wire form: not-run, may-have-run or ran.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	case MayHaveRun:
		return "may-have-run"
	}
	return "may-have-run"
}

// MarshalText returns the wire form.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText reads the wire form. It fails on any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{MayHaveRun, NotRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("fault: unknown verdict %q", text)
}

// Weaken joins the verdicts of two attempts of one request. The request is
// NotRun only if both attempts are, and Ran as soon as either is.
func (v Verdict) Weaken(other Verdict) Verdict {
	if v == Ran || other == Ran {
		return Ran
	}
	if v == NotRun && other == NotRun {
		return NotRun
	}
	return MayHaveRun
}
