package ticket

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var signer = Signer{Secret: "secret"}

// issue returns a valid ticket of team cantata.
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

// A modified ticket, or one of another team, would let a caller name an entry
// host that never issued it. Every byte must be protected.
func TestForgedTickets(t *testing.T) {
	text := issue(t)
	for _, forged := range []string{"", Prefix, "seat-1", text[:len(text)-1], text + "A", text[len(Prefix):], text + "\n"} {
		_, err := signer.Parse(forged, "cantata")
		qt.Check(t, err, qt.Equals, errInvalid, qt.Commentf("%q", forged))
	}
	for i := len(Prefix); i < len(text); i++ {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := signer.Parse(string(changed), "cantata")
		qt.Check(t, err, qt.Equals, errInvalid, qt.Commentf("byte %d", i))
	}
	_, err := signer.Parse(text, "lyra")
	qt.Assert(t, err, qt.Equals, errInvalid)
	_, err = Signer{Secret: "other"}.Parse(text, "cantata")
	qt.Assert(t, err, qt.Equals, errInvalid)
}

// Callers can send any text as a ticket; only issued ones may be accepted.
func FuzzParse(f *testing.F) {
	f.Add(issue(f))
	f.Add(Prefix + "AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := signer.Parse(text, "cantata"); err == nil && text != issue(t) {
			t.Fatalf("accepted %q", text)
		}
	})
}
