package admin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/lang"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// acceptWait bounds how long a line tries to be accepted. It is far above the
// object API's usual few milliseconds, so that a slow one still answers.
const acceptWait = 8 * time.Second

// outageWait is how long a line that certainly changed nothing is tried again.
const outageWait = 3 * time.Second

// retryPause is the mean pause between two tries.
const retryPause = 60 * time.Millisecond

// maxObject is the largest configuration that the object API holds, in bytes.
const maxObject = 1 << 20

// offer is one line on its way to be accepted.
type offer struct {
	*Server
	line   *wire.Line
	parsed *lang.Line
	// seen is the revision that the operator saw.
	seen  uint64
	write conf.Write
	// sent is the configuration that was written last, and value its form.
	sent  *conf.Config
	value []byte
}

// accept writes the line into the configuration and waits until it is in
// force everywhere.
func (s *Server) accept(ctx context.Context, line *wire.Line, parsed *lang.Line) *wire.Answer {
	o := &offer{Server: s, line: line, parsed: parsed, seen: line.Seen}
	if o.seen == 0 {
		o.seen = revision(s.View.Load().Config)
	}
	accepted, answer := o.run(ctx)
	if answer != nil {
		return answer
	}
	return s.confirm(ctx, accepted)
}

func revision(c *conf.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Revision
}

// run tries until the line is accepted, or until it is known that it is not,
// or time is over. It returns the accepted line, or the answer.
func (o *offer) run(ctx context.Context) (conf.Line, *wire.Answer) {
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	began := time.Now()
	if !o.awaitHosts(ctx) {
		return conf.Line{}, &wire.Answer{Outcome: Refused, Message: hostsUnknown + "; nothing was changed"}
	}
	known := o.survey(ctx)
	var last error
	for {
		accepted, answer, err := o.try(ctx, known)
		if answer != nil {
			return conf.Line{}, answer
		}
		if accepted != nil {
			return *accepted, nil
		}
		if ctx.Err() == nil {
			last = err
		}
		wait.For(ctx, retryPause/2+rand.N(retryPause))
		if ctx.Err() != nil || time.Since(began) > outageWait && !o.write.Uncertain() {
			return conf.Line{}, o.gaveUp(last)
		}
	}
}

// try reads the object and does what follows. Without an answer of the object
// API the line may still be seen in force here, by a watch or a peer.
func (o *offer) try(ctx context.Context, known survey) (*conf.Line, *wire.Answer, error) {
	object, stored, err := o.read(ctx)
	if err == nil {
		return o.step(ctx, object, stored, known)
	}
	if line := o.find(nil); line != nil && line.Text == o.line.Text {
		return line, nil, nil
	}
	return nil, nil, err
}

// read returns the configuration object and what it holds.
func (s *Server) read(ctx context.Context) (store.Object, *conf.Config, error) {
	object, err := s.Store.Get(ctx, conf.Key)
	if err != nil {
		return object, nil, err
	}
	stored, err := conf.Decode(object.Value)
	return object, stored, err
}

// gaveUp is the answer when time is over. A line that was never written, or
// whose writes are all known to have failed, has changed nothing.
func (o *offer) gaveUp(last error) *wire.Answer {
	message := "the object API does not answer"
	if last != nil {
		message = last.Error()
	}
	if fault.As(last) != nil && fault.As(last).Code == fault.Conflict {
		message = "other lines were always faster, or the object API answers with an older copy"
	}
	if o.write.Uncertain() {
		return &wire.Answer{Outcome: Unknown, Message: message}
	}
	return &wire.Answer{Outcome: Refused, Message: message + "; nothing was changed"}
}

// step does what follows from one reading of the object. It returns the
// accepted line, or the answer, or an error after which to read again.
func (o *offer) step(ctx context.Context, object store.Object, stored *conf.Config, known survey) (*conf.Line, *wire.Answer, error) {
	switch step := o.write.Read(object.Version, stored, o.find(stored)).(type) {
	case conf.Accepted:
		if step.Line.Text != o.line.Text {
			return nil, o.reused(step.Line), nil
		}
		o.Watch.Apply(stored)
		return &step.Line, nil, nil
	case conf.Build:
		base, err := o.base(ctx, stored, known)
		if err != nil {
			return nil, nil, err
		}
		if err := o.build(base); err != nil {
			return nil, refused(err), nil
		}
		return o.send(ctx, object.Version, stored)
	case conf.Resend:
		return o.send(ctx, object.Version, stored)
	case conf.Reread:
		return nil, nil, &staleError{}
	}
	return nil, nil, nil
}

// staleError says that the object API answers with an older copy.
type staleError struct{}

// Error returns the message.
func (*staleError) Error() string {
	return "the object API answers with an older copy"
}

// find looks for the line in the object and in the configuration in force,
// which is the newer one if the object API has lost what it held.
func (o *offer) find(stored *conf.Config) *conf.Line {
	for _, c := range []*conf.Config{stored, o.View.Load().Config} {
		if line, ok := c.Find(o.line.Id); ok {
			return &line
		}
	}
	return nil
}

func (o *offer) reused(of conf.Line) *wire.Answer {
	return &wire.Answer{
		Outcome: Refused,
		Message: fmt.Sprintf("the id belongs to the line %q of revision %d", of.Text, of.Revision),
	}
}

// build makes the next configuration of a base. It fails if what the line
// changes has been changed since the operator looked.
func (o *offer) build(base *conf.Config) error {
	thing := o.parsed.Resource()
	if o.seen > base.Revision {
		return fmt.Errorf("revision %d was seen, but only %d is known here", o.seen, base.Revision)
	}
	line, clash, complete := base.Conflict(thing, o.seen)
	if clash {
		return fmt.Errorf("%s was changed at revision %d by %s at %s: %s",
			thing, line.Revision, line.Operator, line.At.UTC().Format(time.DateTime), line.Text)
	}
	if !complete {
		return fmt.Errorf("revision %d was seen, which is too long ago to compare with %d", o.seen, base.Revision)
	}
	now := time.Now()
	next, err := o.parsed.Apply(base, lang.Environment{Hosts: o.View.Load().Hosts, Now: now, MaxDeadline: o.MaxCallTime})
	if err != nil {
		return err
	}
	next.Record(conf.Line{
		ID: o.line.Id, Revision: next.Revision, Operator: o.line.Operator,
		Text: o.line.Text, Resource: thing, At: now,
	})
	value, err := next.Encode()
	if err != nil {
		return err
	}
	if len(value) > maxObject {
		return fmt.Errorf("the configuration would have %d bytes, more than %d", len(value), maxObject)
	}
	o.sent, o.value = next, value
	return nil
}

// send writes what was built, conditional on the version at which the object
// held a configuration.
func (o *offer) send(ctx context.Context, version uint64, held *conf.Config) (*conf.Line, *wire.Answer, error) {
	_, err := o.Store.Put(ctx, conf.Key, o.value, version)
	if err != nil {
		o.write.Sent(version, held, fault.As(err).Verdict)
		return nil, nil, err
	}
	o.Watch.Apply(o.sent)
	line, _ := o.sent.Find(o.line.Id)
	return &line, nil, nil
}
