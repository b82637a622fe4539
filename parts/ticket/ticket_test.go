package ticket

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var signer = Signer{Secret: "secret"}

func issue(t testing.TB) string {
	text, err := signer.Issue(Ticket{Entry: "e1", Incarnation: 7, Serial: 3, Issued: time.Second}, "cantata")
	qt.Assert(t, err, qt.IsNil)
	return text
}

func TestParse(t *testing.T) {
	got, err := signer.Parse(issue(t), "cantata")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Entry, qt.Equals, "e1")
	qt.Assert(t, got.Incarnation, qt.Equals, uint64(7))
	qt.Assert(t, got.Expired(time.Second+TTL-1), qt.IsFalse)
	qt.Assert(t, got.Expired(time.Second+TTL), qt.IsTrue)
}

// A ticket that was changed, or taken from another team, would let a caller
// name an entry host that never issued it. Each byte counts.
func TestForged(t *testing.T) {
	text := issue(t)
	for _, bad := range []string{"", Prefix, "seat-1", text[:len(text)-1], text + "A", text[len(Prefix):], text + "\n"} {
		_, err := signer.Parse(bad, "cantata")
		qt.Check(t, err, qt.Equals, errForged, qt.Commentf("%q", bad))
	}
	for i := len(Prefix); i < len(text); i++ {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := signer.Parse(string(changed), "cantata")
		qt.Check(t, err, qt.Equals, errForged, qt.Commentf("byte %d", i))
	}
	_, err := signer.Parse(text, "lyra")
	qt.Assert(t, err, qt.Equals, errForged)
	_, err = Signer{Secret: "other"}.Parse(text, "cantata")
	qt.Assert(t, err, qt.Equals, errForged)
}

// Callers send any text as a ticket; none but an issued one is taken.
func FuzzParse(f *testing.F) {
	f.Add(issue(f))
	f.Add(Prefix + "AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := signer.Parse(text, "cantata"); err == nil && text != issue(t) {
			t.Fatalf("took %q", text)
		}
	})
}
