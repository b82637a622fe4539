package poison_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/poison"
)

// start is when the crashes of these tests begin.
var start = time.Unix(1_700_000_000, 0)

// at returns a time that is a number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newDetector() *poison.Detector {
	return &poison.Detector{Log: slog.New(slog.DiscardHandler)}
}

// prompt returns the causes of a request whose prompt has the given parts and one of its own.
func prompt(request string, parts ...string) []poison.Cause {
	return poison.Causes(poison.NewFingerprint("choir", request), append(parts, "own"))
}

// crash records that a server crashed under requests.
func crash(d *poison.Detector, seconds float64, server string, requests ...[]poison.Cause) {
	var victims []poison.Victim
	for _, causes := range requests {
		victims = append(victims, poison.Victim{Causes: causes})
	}
	d.RecordCrash(server, victims, at(seconds), at(seconds))
}

// blocked reports whether a new request with the given parts is blocked.
func blocked(d *poison.Detector, seconds float64, parts ...string) bool {
	cause, _ := d.Blocked(prompt(fmt.Sprint("new ", seconds), parts...), at(seconds))
	return cause != ""
}

// Guards against a request that crashes each server that runs it and is sent
// again through any entry host: without a limit it would crash one server
// after another. A request that ran on two crashed servers by chance is not
// blocked.
func TestRequestIsBlocked(t *testing.T) {
	a, b := newDetector(), newDetector()
	request := poison.Causes(poison.NewFingerprint("choir", "POST", "/ask/1", "body"), nil)
	crash(a, 0, "i-1", request)
	crash(a, 1, "i-1", request)
	crash(a, 2, "i-2", request)
	admitted, _ := a.Admit(request, "r", at(2))
	qt.Assert(t, admitted, qt.IsTrue)
	b.Merge(a.Evidence(at(2)), "a", at(2))
	crash(b, 3, "i-3", request)
	admitted, _ = b.Admit(request, "r", at(3))
	qt.Assert(t, admitted, qt.IsFalse)
	admitted, _ = b.Admit(poison.Causes(poison.NewFingerprint("choir", "POST", "/ask/1", "other"), nil), "r", at(3))
	qt.Assert(t, admitted, qt.IsTrue)
	b.Sweep(at(3).Add(poison.BlockFor + time.Second))
	_, blocked := b.Counts()
	qt.Assert(t, blocked, qt.Equals, 0)
}

// Guards against blocking a harmless request that many callers send while
// three servers crash for other reasons: once one of them succeeds, none may
// be blocked, whatever other entry hosts still report.
func TestSuccessClearsRequest(t *testing.T) {
	a := newDetector()
	request := poison.Causes(poison.NewFingerprint("choir", "GET", "/look/1"), nil)
	isBlocked := func(seconds float64) bool {
		cause, _ := a.Blocked(request, at(seconds))
		return cause != ""
	}
	for i, server := range []string{"i-1", "i-2", "i-3"} {
		crash(a, float64(i), server, request)
	}
	evidence := a.Evidence(at(2))
	qt.Assert(t, isBlocked(2), qt.IsTrue)
	a.RecordAnswer(request, "r", at(3))
	a.Sweep(at(3))
	a.Merge(evidence, "b", at(3))
	qt.Assert(t, isBlocked(3), qt.IsFalse)
}

// Guards against the cases that distinguish a part that crashes servers from those that are
// beside it.
func TestPartIsBlocked(t *testing.T) {
	t.Run("no two requests alike", func(t *testing.T) {
		d := newDetector()
		for i := range 3 {
			qt.Assert(t, blocked(d, float64(i), "all", "bad"), qt.IsFalse)
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"))
		}
		qt.Assert(t, blocked(d, 3, "all", "bad"), qt.IsTrue)
		qt.Assert(t, blocked(d, 3, "bad", "other"), qt.IsTrue)
		qt.Assert(t, blocked(d, 3, "all", "other"), qt.IsFalse)
	})
	t.Run("the last part is of the request itself", func(t *testing.T) {
		d := newDetector()
		for i := range 5 {
			crash(d, float64(i), fmt.Sprint("i-", i), poison.Causes(poison.NewFingerprint("choir", fmt.Sprint(i)), []string{"session"}))
		}
		qt.Assert(t, blocked(d, 5, "session"), qt.IsFalse)
	})
	t.Run("innocent requests beside it", func(t *testing.T) {
		d := newDetector()
		for i := range 4 {
			crash(d, float64(i), fmt.Sprint("i-", i),
				prompt(fmt.Sprint("b", i), "all", "bad"), prompt(fmt.Sprint("s1", i), "all", "common"),
				prompt(fmt.Sprint("s2", i), "all", "common"), prompt(fmt.Sprint("s3", i), "all", fmt.Sprint("rare", i/2)))
			d.RecordAnswer(prompt("s4", "all", "common"), fmt.Sprint("s4-", i), at(float64(i)+0.5))
		}
		qt.Assert(t, blocked(d, 4, "all", "bad"), qt.IsTrue)
		for _, part := range []string{"common", "rare0", "rare1", "new"} {
			qt.Assert(t, blocked(d, 4, "all", part), qt.IsFalse, qt.Commentf("%s", part))
		}
	})
	t.Run("first part of its prompts", func(t *testing.T) {
		d := newDetector()
		for i, topic := range []string{"t1", "t1", "t1", "t2"} {
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "bad", topic))
		}
		qt.Assert(t, blocked(d, 4, "bad", "t3"), qt.IsTrue)
		qt.Assert(t, blocked(d, 4, "all", "t1"), qt.IsFalse)
	})
	t.Run("a request with it succeeds", func(t *testing.T) {
		d := newDetector()
		for i := range 3 {
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"))
		}
		d.RecordAnswer(prompt("lucky", "all", "bad"), "lucky", at(2.5))
		crash(d, 4, "i-4", prompt("r4", "all", "bad"))
		crash(d, 5, "i-5", prompt("r5", "all", "bad"))
		qt.Assert(t, blocked(d, 5, "all", "bad"), qt.IsTrue)
	})
	t.Run("several at once", func(t *testing.T) {
		d := newDetector()
		for i := range 6 {
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", fmt.Sprint("bad", i%2)))
			d.RecordAnswer(prompt("sound", "all", "other"), fmt.Sprint("sound", i), at(float64(i)+0.5))
		}
		qt.Assert(t, blocked(d, 6, "all", "bad0"), qt.IsTrue)
		qt.Assert(t, blocked(d, 6, "all", "bad1"), qt.IsTrue)
		qt.Assert(t, blocked(d, 6, "all", "other"), qt.IsFalse)
	})
	t.Run("all chains fail at once", func(t *testing.T) {
		d := newDetector()
		for i := range 10 {
			d.RecordAnswer(prompt("s", "all"), fmt.Sprint("s", i), at(-10))
		}
		for i := range 7 {
			crash(d, 0.06*float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", fmt.Sprint("bad", i%2)))
		}
		qt.Assert(t, blocked(d, 1, "all", "other"), qt.IsFalse)
		qt.Assert(t, blocked(d, 1, "all", "bad0"), qt.IsTrue)
		qt.Assert(t, blocked(d, 1, "all", "bad1"), qt.IsTrue)
	})
	t.Run("was harmless before", func(t *testing.T) {
		d := newDetector()
		for i := range 100 {
			d.RecordAnswer(prompt("s", "all", "changed"), fmt.Sprint("s", i), at(-1))
			d.RecordAnswer(prompt("s", "all", "other"), fmt.Sprint("o", i), at(-1))
		}
		for i := range 9 {
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "changed"))
			d.RecordAnswer(prompt("s", "all", "other"), fmt.Sprint("p", i), at(float64(i)+0.5))
		}
		qt.Assert(t, blocked(d, 9, "all", "changed"), qt.IsTrue)
		qt.Assert(t, blocked(d, 9, "all", "other"), qt.IsFalse)
	})
	t.Run("a request goes from server to server", func(t *testing.T) {
		d := newDetector()
		for i := range 3 {
			d.RecordCrash(fmt.Sprint("i-", i), []poison.Victim{{Causes: prompt("r", "all", "bad"), Sent: at(0.01*float64(i) - 0.005)}}, at(0.01*float64(i)), at(0.01*float64(i)))
		}
		admitted, _ := d.Admit(prompt("r", "all", "bad"), "again", at(1))
		qt.Assert(t, admitted, qt.IsFalse)
	})
	t.Run("a rack fails", func(t *testing.T) {
		d := newDetector()
		for i := range 30 {
			crash(d, 0.001*float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "hot"))
		}
		qt.Assert(t, blocked(d, 1, "all", "hot"), qt.IsFalse)
	})
	t.Run("servers crash for other reasons for a minute", func(t *testing.T) {
		d := newDetector()
		for i := range 60 {
			crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", fmt.Sprint("topic", i%5)))
			for topic := range 5 {
				d.RecordAnswer(prompt("s", "all", fmt.Sprint("topic", topic)), fmt.Sprint("s", i, topic), at(float64(i)+0.5))
			}
			d.Sweep(at(float64(i) + 0.6))
			qt.Assert(t, blocked(d, float64(i)+0.9, "all", fmt.Sprint("topic", i%5)), qt.IsFalse)
		}
	})
}

// Guards against a blocked part that is tried again by each entry host, or as often as it comes, and
// against one that stays blocked after it has ceased to crash servers.
func TestTrials(t *testing.T) {
	owner, other := newDetector(), newDetector()
	other.Owns = func(poison.Cause) bool { return false }
	for i := range 3 {
		crash(owner, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"))
	}
	other.Merge(owner.Evidence(at(2)), "owner", at(2))
	request := prompt("again", "all", "bad")
	trials := 0
	for second := 2.0; second < 120; second++ {
		admitted, _ := other.Admit(request, "o", at(second))
		qt.Assert(t, admitted, qt.IsFalse)
		admitted, isTrial := owner.Admit(request, "a", at(second))
		if !admitted {
			continue
		}
		trials++
		qt.Assert(t, isTrial, qt.IsTrue)
		admitted, _ = owner.Admit(request, "b", at(second))
		qt.Assert(t, admitted, qt.IsFalse)
		crash(owner, second+0.2, fmt.Sprint("trial-", trials), request)
		owner.Close(request, "a")
	}
	qt.Assert(t, trials, qt.Equals, 2)
	for second := 120.0; ; second++ {
		_, retryAfter := owner.Blocked(request, at(second))
		if admitted, _ := owner.Admit(request, fmt.Sprint("t", second), at(second)); admitted {
			owner.RecordAnswer(request, fmt.Sprint("t", second), at(second+0.2))
			owner.Close(request, fmt.Sprint("t", second))
		} else {
			qt.Assert(t, retryAfter >= time.Second, qt.IsTrue)
		}
		owner.Sweep(at(second + 0.5))
		if !blocked(owner, second+0.6, "all", "bad") {
			break
		}
		qt.Assert(t, second < 700, qt.IsTrue)
	}
}

// Guards against hosts that start later, or were cut off, and let a blocked part crash servers
// again.
func TestEvidenceReachesHostThatStartsLater(t *testing.T) {
	a := newDetector()
	for i := range 3 {
		crash(a, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"), prompt(fmt.Sprint("s", i), "all", "other"))
	}
	for _, second := range []float64{3, 70, 500} {
		a.Sweep(at(second))
		late := newDetector()
		late.Merge(a.Evidence(at(second)), "a", at(second))
		qt.Assert(t, blocked(late, second, "all", "bad"), qt.IsTrue, qt.Commentf("after %v s", second))
	}
	a.Sweep(at(500))
	qt.Assert(t, len(a.Evidence(at(500)).Crashes[0].Causes), qt.Equals, 1)
}

// Guards against evidence that hosts pass to each other after it should be forgotten.
func TestEvidenceIsForgotten(t *testing.T) {
	a, b := newDetector(), newDetector()
	for i := range 3 {
		crash(a, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"))
	}
	for second := 3.0; second < 640; second += 0.4 {
		b.Merge(a.Evidence(at(second)), "a", at(second+0.1))
		a.Merge(b.Evidence(at(second+0.1)), "b", at(second+0.2))
		a.Sweep(at(second + 0.2))
		b.Sweep(at(second + 0.3))
	}
	for _, d := range []*poison.Detector{a, b} {
		suspects, _ := d.Counts()
		qt.Assert(t, suspects, qt.Equals, 0)
	}
}

// Guards against memory and messages that grow with the number of parts that callers send.
func TestDetectorIsBounded(t *testing.T) {
	d := newDetector()
	for i := range 2000 {
		var requests [][]poison.Cause
		for n := range 20 {
			requests = append(requests, prompt(fmt.Sprint("r", i, n), fmt.Sprint("a", i, n), fmt.Sprint("b", i, n)))
		}
		crash(d, float64(i)/100, fmt.Sprint("i-", i), requests...)
	}
	for i := range 3 {
		crash(d, 20+float64(i), fmt.Sprint("j-", i), prompt(fmt.Sprint("j", i), "all", "bad"))
	}
	qt.Assert(t, blocked(d, 23, "all", "bad"), qt.IsTrue)
	suspects, _ := d.Counts()
	qt.Assert(t, suspects <= 8192, qt.IsTrue, qt.Commentf("%d", suspects))
	sent := 0
	for _, c := range d.Evidence(at(22)).Crashes {
		sent += len(c.Causes)
	}
	qt.Assert(t, sent <= 2048, qt.IsTrue, qt.Commentf("%d", sent))
}

// Guards against a crash of the host, and against releasing a blocked part, when the crashes of many
// other servers fill the memory.
func TestBlockedPartIsKeptWhenFull(t *testing.T) {
	d := newDetector()
	for i := range 3 {
		crash(d, float64(i), fmt.Sprint("i-", i), prompt(fmt.Sprint("r", i), "all", "bad"))
	}
	for i := range 1000 {
		c := poison.Crash{Server: fmt.Sprint("j-", i), Causes: map[poison.Cause]uint8{}}
		for n := range 40 {
			c.Causes[poison.Cause(fmt.Sprint("part ", i, "-", n))] = 1
		}
		now := at(3 + float64(i)/100)
		d.Merge(poison.Evidence{Crashes: []poison.Crash{c}}, "a", now)
		qt.Assert(t, blocked(d, 3+float64(i)/100, "all", "bad"), qt.IsTrue, qt.Commentf("after %d crashes", i))
	}
}
