// Package fault defines the errors of the request path.
//
// Every error carries a [Verdict], which says whether the request may have run
// on a backend server. A verdict starts as [NotRun] and only weakens: once the
// first byte of a request could have been sent to a backend server, only a
// response of that backend server can make it [NotRun] again.
package fault

import "fmt"

// Verdict says whether a request may have run on a backend server.
type Verdict uint8

// The verdicts. The zero value is MayHaveRun, so that an unset verdict promises
// nothing.
const (
	// MayHaveRun means that the request was sent to a backend server and its
	// outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has run or will run the request.
	NotRun
	// Ran means that a backend server is known to have run the request.
	Ran
)

// Header is the HTTP header that reports the verdict to a caller.
const Header = "Fuchsia-Verdict"

// String returns the wire format: not-run, may-have-run or ran.
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

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It fails on any unknown
// text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{MayHaveRun, NotRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("fault: unknown verdict %q", text)
}

// Weaken combines the verdicts of two attempts of one request. The result is
// NotRun only if both are, and Ran if either is.
func (v Verdict) Weaken(other Verdict) Verdict {
	if v == Ran || other == Ran {
		return Ran
	}
	if v == NotRun && other == NotRun {
		return NotRun
	}
	return MayHaveRun
}
