package gossip

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/resv"
)

// configMessage returns a message with a configuration of many routes.
func configMessage(routes int) *Message {
	var spec strings.Builder
	for i := range routes {
		fmt.Fprintf(&spec, `{"name":"route-%d","host":"fide%d.example","prefix":"/ce%dmbz/","kind":"idempotent","timeout_ms":2000},`, i, i%40, i)
	}
	return &Message{Changes: []mirror.Batch{{Kind: "config", Cursor: 7, Items: []mirror.Object{{Name: "main", Revision: 7, Spec: []byte(spec.String())}}}}}
}

// Guards against a large configuration that overloads the links of entry hosts when
// all of them fetch it at once.
func TestLargeMessagesAreCompressed(t *testing.T) {
	for _, routes := range []int{0, 10, 2000} {
		sent, received := configMessage(routes), &Message{}
		b, err := codec{}.Marshal(sent)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, codec{}.Unmarshal(b, received), qt.IsNil)
		qt.Check(t, received.Changes, qt.DeepEquals, sent.Changes)
		if size := len(sent.Changes[0].Items[0].Spec); routes == 2000 {
			qt.Check(t, len(b) < size/5, qt.IsTrue, qt.Commentf("%d bytes for %d", len(b), size))
		}
	}
}

// Guards against messages that grow by more than the overload design allows for, and against fields of
// promises that are lost on the way.
func TestPromisesAreEncoded(t *testing.T) {
	sent, received := &Message{}, &Message{}
	empty, err := codec{}.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	for i := range uint64(128) {
		sent.Promises = append(sent.Promises, resv.Promise{Key: math.MaxUint64 - i, Due: 4*time.Second + 123456789, ID: 50000, Kept: i%2 == 0})
	}
	b, err := cbor.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(b)-len(empty) <= 128*24, qt.IsTrue, qt.Commentf("%d bytes", len(b)-len(empty)))
	b, err = codec{}.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, codec{}.Unmarshal(b, received), qt.IsNil)
	qt.Check(t, received.Promises, qt.DeepEquals, sent.Promises)
}

// Guards against results of probes and times of hosts that are lost on the way, take up too much of a
// message, or cannot be read from messages of older versions.
func TestResultsAreEncoded(t *testing.T) {
	sent, received := &Message{}, &Message{}
	empty, err := cbor.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	for i := range 50 {
		sent.Heard = append(sent.Heard, Heard{ID: math.MaxUint32 - uint32(i), Seq: 1 << 20, Age: 199})
	}
	heard, err := cbor.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(heard)-len(empty) <= 50*16, qt.IsTrue, qt.Commentf("%d bytes", len(heard)-len(empty)))
	sent.Suspects = []Suspect{{ID: "s", Left: time.Second, By: "entry-zone-a-01", Found: time.Second, Exited: true}, {ID: "older", Left: time.Second}}
	sent.Alive = []Answer{{ID: "t", By: "entry-zone-a-01", Found: time.Second}}
	b, err := codec{}.Marshal(sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, codec{}.Unmarshal(b, received), qt.IsNil)
	qt.Check(t, received.Suspects, qt.DeepEquals, sent.Suspects)
	qt.Check(t, received.Alive, qt.DeepEquals, sent.Alive)
	qt.Check(t, reflect.DeepEqual(received.Heard, sent.Heard), qt.IsTrue)
	type suspect struct {
		ID   string
		Left time.Duration
	}
	b, err = codec{}.Marshal(&struct{ Suspects []suspect }{[]suspect{{"older", time.Second}}})
	qt.Assert(t, err, qt.IsNil)
	old := &Message{}
	qt.Assert(t, codec{}.Unmarshal(b, old), qt.IsNil)
	qt.Check(t, old.Suspects, qt.DeepEquals, sent.Suspects[1:])
}

// Guards against accepting malformed messages, and small ones that exhaust memory when
// decompressed.
func TestInvalidMessagesAreRejected(t *testing.T) {
	var bomb bytes.Buffer
	bomb.WriteByte(formatDeflate)
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	qt.Assert(t, err, qt.IsNil)
	for range maxMessageSize>>20 + 1 {
		_, err = w.Write(make([]byte, 1<<20))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, w.Close(), qt.IsNil)
	for name, b := range map[string][]byte{
		"empty": nil, "unknown format": {9, 1}, "no cbor": {formatPlain, 0xff}, "no deflate": {formatDeflate, 1, 2, 3}, "bomb": bomb.Bytes(),
	} {
		qt.Check(t, codec{}.Unmarshal(b, &Message{}), qt.IsNotNil, qt.Commentf(name))
	}
}

func FuzzMessage(f *testing.F) {
	for _, routes := range []int{0, 200} {
		b, err := codec{}.Marshal(configMessage(routes))
		qt.Assert(f, err, qt.IsNil)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &Message{}
		if err := (codec{}).Unmarshal(b, m); err != nil {
			return
		}
		again, err := codec{}.Marshal(m)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, codec{}.Unmarshal(again, &Message{}), qt.IsNil)
	})
}

// Guards against another number of fields in Heard, for which hosts of other versions reject messages.
func TestHeardKeepsItsFields(t *testing.T) {
	encoded, err := cbor.Marshal(Heard{ID: 1, Seq: 2, Age: 3})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, encoded, qt.DeepEquals, []byte{0x83, 1, 2, 3})
}
