package frame

import (
	"encoding/json"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	_ "fuchsiashelf.dev/parts/seed"
)

var stages = []engine.Stage{
	{Server: "a1", First: 0, End: 8}, {Server: "a2", First: 8, End: 16}, {Server: "a3", First: 16, End: 24},
}

func newValidator() *Validator {
	return &Validator{Request: "r1", Attempt: 2, Layers: 24, Index: 3, Chain: stages}
}

// nextFrame returns the next valid frame.
func nextFrame() engine.Frame {
	f := engine.Frame{Request: "r1", Attempt: 2, Index: 3, Token: "t"}
	for _, s := range stages {
		f.Spans = append(f.Spans, engine.Span{Server: s.Server, First: s.First, End: s.End})
	}
	return f
}

// Guards against a response with a token of another response, or one that did
// not run through all layers: frames can be late, belong to another request or
// an older attempt, or come from servers that ran other layers than the chain
// says.
func TestNext(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*engine.Frame)
		want   Result
	}{
		{"the next token", func(*engine.Frame) {}, Token},
		{"another request", func(f *engine.Frame) { f.Request = "r2" }, Drop},
		{"an older attempt", func(f *engine.Frame) { f.Attempt = 1 }, Drop},
		{"an end of an older attempt", func(f *engine.Frame) { f.Attempt, f.End, f.Count = 1, true, 3 }, Drop},
		{"a failure of an older attempt", func(f *engine.Frame) { f.Attempt, f.Fail = 1, &engine.Failure{} }, Drop},
		{"a repeated token", func(f *engine.Frame) { f.Index = 2 }, Invalid},
		{"a skipped token", func(f *engine.Frame) { f.Index = 4 }, Invalid},
		{"no spans", func(f *engine.Frame) { f.Spans = nil }, Invalid},
		{"a missing stage", func(f *engine.Frame) { f.Spans = f.Spans[:2] }, Invalid},
		{"a repeated stage", func(f *engine.Frame) { f.Spans = append(f.Spans[:2], f.Spans[1:]...) }, Invalid},
		{"a gap", func(f *engine.Frame) { f.Spans[1].First = 9 }, Invalid},
		{"an overlap", func(f *engine.Frame) { f.Spans[1].First = 7 }, Invalid},
		{"layers beyond the model", func(f *engine.Frame) { f.Spans[2].End = 25 }, Invalid},
		{"another server", func(f *engine.Frame) { f.Spans[1].Server = "b2" }, Invalid},
		{"another boundary between two servers", func(f *engine.Frame) { f.Spans[0].End, f.Spans[1].First = 9, 9 }, Invalid},
		{"the end", func(f *engine.Frame) { f.End, f.Count = true, 3 }, End},
		{"an early end", func(f *engine.Frame) { f.End, f.Count = true, 4 }, Invalid},
		{"a failure", func(f *engine.Frame) { f.Fail = &engine.Failure{Server: "a2"} }, Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			f := nextFrame()
			test.change(&f)
			validator := newValidator()
			result, e := validator.Next(&f)
			c.Assert(result, quicktest.Equals, test.want)
			c.Assert(e != nil, quicktest.Equals, result == Invalid || result == Failed)
			if e != nil {
				c.Assert(e.Verdict, quicktest.Equals, fault.MayHaveRun)
			}
			c.Assert(validator.Index, quicktest.Equals, map[bool]int{true: 4, false: 3}[result == Token])
		})
	}
}

// Guards against an error that names the wrong server when one leaves out its
// last layer and the next begins where it should: the next chain avoids the
// server that the error names.
func TestErrorNamesFaultyServer(t *testing.T) {
	f := nextFrame()
	f.Spans[1].End = 15
	_, e := newValidator().Next(&f)
	quicktest.Assert(t, e.Server, quicktest.Equals, "a2")
}

// However the frames of two attempts and of another request are interleaved,
// the accepted tokens are those of the current attempt, each once and in order.
func TestMixedFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		validator := &Validator{Request: "r1", Attempt: 2, Layers: 24, Chain: stages}
		var accepted []string
		for range rapid.IntRange(0, 60).Draw(t, "frames") {
			f := nextFrame()
			f.Request = rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "request")
			f.Attempt = rapid.SampledFrom([]int{1, 2, 2}).Draw(t, "attempt")
			f.Index = rapid.IntRange(0, 5).Draw(t, "index")
			f.Token = f.Request + string(rune('0'+f.Attempt)) + string(rune('0'+f.Index))
			if result, _ := validator.Next(&f); result == Token {
				accepted = append(accepted, f.Token)
			}
		}
		for i, token := range accepted {
			if want := "r12" + string(rune('0'+i)); token != want {
				t.Fatalf("token %d = %s, want %s", i, token, want)
			}
		}
	})
}

// FuzzNext validates any line that an engine could send. A token is accepted
// only if it is the next one and its spans tile all layers.
func FuzzNext(f *testing.F) {
	for _, frame := range []engine.Frame{nextFrame(), {Request: "r1", Attempt: 2, End: true, Count: 3}} {
		line, err := json.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var in engine.Frame
		if json.Unmarshal(line, &in) != nil {
			return
		}
		validator := &Validator{Request: "r1", Attempt: 2, Layers: 24, Index: 3}
		result, e := validator.Next(&in)
		if (e != nil) != (result == Invalid || result == Failed) {
			t.Fatalf("result %d with error %v", result, e)
		}
		if result != Token {
			return
		}
		next := 0
		for _, s := range in.Spans {
			if s.First != next {
				t.Fatalf("accepted spans %v", in.Spans)
			}
			next = s.End
		}
		if next != 24 || in.Index != 3 || in.Request != "r1" || in.Attempt != 2 {
			t.Fatalf("accepted %+v", in)
		}
	})
}
