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

// acceptTimeout bounds the time to get a line accepted. The object API usually
// answers in a few milliseconds; the bound leaves room for a slow one.
const acceptTimeout = 8 * time.Second

// outageTimeout bounds the retries of a line while no write of it can have taken
// effect.
const outageTimeout = 3 * time.Second

// retryInterval is the mean delay between two attempts.
const retryInterval = 60 * time.Millisecond

// maxObjectBytes is the largest configuration that the object API holds, in bytes.
const maxObjectBytes = 1 << 20

// submission is the state of one line until it is answered.
type submission struct {
	*Server
	line   *wire.Line
	parsed *lang.Line
	// seenRevision is the revision that the operator saw.
	seenRevision uint64
	write        conf.Write
	// config is the configuration built last, and encoded its encoded form.
	config  *conf.Config
	encoded []byte
}

// accept writes the line into the configuration and waits until it is in
// force everywhere.
func (s *Server) accept(ctx context.Context, line *wire.Line, parsed *lang.Line) *wire.Answer {
	sub := &submission{Server: s, line: line, parsed: parsed, seenRevision: line.Seen}
	if sub.seenRevision == 0 {
		sub.seenRevision = revisionOf(s.View.Load().Config)
	}
	accepted, answer := sub.run(ctx)
	if answer != nil {
		return answer
	}
	return s.confirm(ctx, accepted)
}

// revisionOf returns the revision of a configuration, zero if there is none.
func revisionOf(c *conf.Config) uint64 {
	if c == nil {
		return 0
	}
	return c.Revision
}

// run retries until the line is accepted or refused, or the time is up. It
// returns either the accepted line or the answer.
func (sub *submission) run(ctx context.Context) (conf.Line, *wire.Answer) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	start := time.Now()
	if !sub.awaitHosts(ctx) {
		return conf.Line{}, &wire.Answer{Outcome: Refused, Message: hostsUnknown + "; nothing was changed"}
	}
	survey := sub.survey(ctx)
	var lastErr error
	for {
		accepted, answer, err := sub.attempt(ctx, survey)
		if answer != nil {
			return conf.Line{}, answer
		}
		if accepted != nil {
			return *accepted, nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		wait.For(ctx, retryInterval/2+rand.N(retryInterval))
		if ctx.Err() != nil || time.Since(start) > outageTimeout && !sub.write.Uncertain() {
			return conf.Line{}, sub.timeoutAnswer(lastErr)
		}
	}
}

// attempt reads the object and takes the next step. If the read fails, the line
// may still be in force here, received from a watch or a peer.
func (sub *submission) attempt(ctx context.Context, survey surveyResult) (*conf.Line, *wire.Answer, error) {
	object, stored, err := sub.readConfig(ctx)
	if err == nil {
		return sub.handleRead(ctx, object, stored, survey)
	}
	if line := sub.findLine(nil); line != nil && line.Text == sub.line.Text {
		return line, nil, nil
	}
	return nil, nil, err
}

// readConfig returns the configuration object and the decoded configuration.
func (s *Server) readConfig(ctx context.Context) (store.Object, *conf.Config, error) {
	object, err := s.Store.Get(ctx, conf.Key)
	if err != nil {
		return object, nil, err
	}
	stored, err := conf.Decode(object.Value)
	return object, stored, err
}

// timeoutAnswer returns the answer to a line that was not accepted in time. A
// line that was never written, or whose writes are all known to have failed, has
// changed nothing.
func (sub *submission) timeoutAnswer(lastErr error) *wire.Answer {
	message := "the object API does not answer"
	if lastErr != nil {
		message = lastErr.Error()
	}
	if fault.As(lastErr) != nil && fault.As(lastErr).Code == fault.Conflict {
		message = "other lines were always faster, or the object API answers with an older copy"
	}
	if sub.write.Uncertain() {
		return &wire.Answer{Outcome: Unknown, Message: message}
	}
	return &wire.Answer{Outcome: Refused, Message: message + "; nothing was changed"}
}

// handleRead takes the next step after a read of the object. It returns the
// accepted line, the answer, or an error after which to read again.
func (sub *submission) handleRead(ctx context.Context, object store.Object, stored *conf.Config, survey surveyResult) (*conf.Line, *wire.Answer, error) {
	switch step := sub.write.Read(object.Version, stored, sub.findLine(stored)).(type) {
	case conf.Accepted:
		if step.Line.Text != sub.line.Text {
			return nil, sub.idReused(step.Line), nil
		}
		sub.Watch.Apply(stored)
		return &step.Line, nil, nil
	case conf.Build:
		base, err := sub.baseConfig(ctx, stored, survey)
		if err != nil {
			return nil, nil, err
		}
		if err := sub.buildNext(base); err != nil {
			return nil, refusedAnswer(err), nil
		}
		return sub.put(ctx, object.Version, stored)
	case conf.Resend:
		return sub.put(ctx, object.Version, stored)
	case conf.Reread:
		return nil, nil, &staleError{}
	}
	return nil, nil, nil
}

// staleError reports that the object API answers with an older copy.
type staleError struct{}

// Error returns the message.
func (*staleError) Error() string {
	return "the object API answers with an older copy"
}

// findLine returns the record of the line in the stored configuration, or else in
// the one in force, which is newer if the object API has lost writes.
func (sub *submission) findLine(stored *conf.Config) *conf.Line {
	for _, c := range []*conf.Config{stored, sub.View.Load().Config} {
		if line, ok := c.Find(sub.line.Id); ok {
			return &line
		}
	}
	return nil
}

// idReused returns the answer to a line whose id was already used by an accepted
// line with another text.
func (sub *submission) idReused(accepted conf.Line) *wire.Answer {
	return &wire.Answer{
		Outcome: Refused,
		Message: fmt.Sprintf("the id belongs to the line %q of revision %d", accepted.Text, accepted.Revision),
	}
}

// buildNext applies the line to a base configuration. It fails if the resource
// that the line changes has changed since the revision that the operator saw.
func (sub *submission) buildNext(base *conf.Config) error {
	resource := sub.parsed.Resource()
	if sub.seenRevision > base.Revision {
		return fmt.Errorf("revision %d was seen, but only %d is known here", sub.seenRevision, base.Revision)
	}
	line, conflict, complete := base.Conflict(resource, sub.seenRevision)
	if conflict {
		return fmt.Errorf("%s was changed at revision %d by %s at %s: %s",
			resource, line.Revision, line.Operator, line.At.UTC().Format(time.DateTime), line.Text)
	}
	if !complete {
		return fmt.Errorf("revision %d was seen, which is too long ago to compare with %d", sub.seenRevision, base.Revision)
	}
	now := time.Now()
	next, err := sub.parsed.Apply(base, lang.Environment{Hosts: sub.View.Load().Hosts, Now: now, MaxDeadline: sub.MaxCallTime})
	if err != nil {
		return err
	}
	next.Record(conf.Line{
		ID: sub.line.Id, Revision: next.Revision, Operator: sub.line.Operator,
		Text: sub.line.Text, Resource: resource, At: now,
	})
	value, err := next.Encode()
	if err != nil {
		return err
	}
	if len(value) > maxObjectBytes {
		return fmt.Errorf("the configuration would have %d bytes, more than %d", len(value), maxObjectBytes)
	}
	sub.config, sub.encoded = next, value
	return nil
}

// put writes the configuration that was built, on condition that the object
// still has the given version, at which it held the given configuration.
func (sub *submission) put(ctx context.Context, version uint64, stored *conf.Config) (*conf.Line, *wire.Answer, error) {
	_, err := sub.Store.Put(ctx, conf.Key, sub.encoded, version)
	if err != nil {
		sub.write.Sent(version, stored, fault.As(err).Verdict)
		return nil, nil, err
	}
	sub.Watch.Apply(sub.config)
	line, _ := sub.config.Find(sub.line.Id)
	return &line, nil, nil
}
