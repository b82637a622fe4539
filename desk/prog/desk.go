package prog

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/parts/wire"
)

// The outcomes of a line, as entry hosts answer them.
const (
	done    = "done"
	refused = "refused"
	unknown = "unknown"
)

// desk sends lines.
type desk struct {
	*settings
	stdout io.Writer
}

// runAll sends the lines in order and returns the exit status. It stops at
// the first that is not done, since the next steps of a script build on it.
func (d *desk) runAll(ctx context.Context, lines []string) int {
	status := 0
	seen := d.seen
	for i, text := range lines {
		answer := d.run(ctx, text, seen)
		d.print(text, answer)
		if d.seen == 0 {
			seen = max(seen, answer.Revision)
		}
		if answer.Outcome == done {
			continue
		}
		status = boot.ExitFailed
		if !d.more && i+1 < len(lines) {
			fmt.Fprintf(d.stdout, "stopped, %d lines not sent\n", len(lines)-i-1)
			return status
		}
	}
	return status
}

// run sends one line until an entry host answers. A line that was sent and
// not answered may have taken effect, so it is sent again with the same id,
// which entry hosts recognise.
func (d *desk) run(ctx context.Context, text string, seen uint64) *wire.Answer {
	line := &wire.Line{Secret: d.secret, Id: d.id, Operator: d.operator, Text: text, Seen: seen}
	if line.Id == "" {
		line.Id = newID()
	}
	answer := &wire.Answer{Outcome: refused, Id: line.Id}
	for _, entry := range d.entries() {
		reply, sent, err := d.ask(ctx, entry, line)
		if err == nil {
			return reply
		}
		answer.Message = err.Error()
		if sent {
			answer.Outcome = unknown
		}
	}
	return answer
}

// ask sends a line to one entry host. It tells whether the line may have got
// there.
func (d *desk) ask(ctx context.Context, entry string, line *wire.Line) (reply *wire.Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	raw, err := d.dial(ctx, entry)
	if err != nil {
		return nil, false, err
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	reply, err = wire.NewDRPCDeskClient(conn).Run(ctx, line)
	return reply, true, err
}

// dialWait bounds the time to reach one entry host.
const dialWait = 3 * time.Second

// dial connects to an entry host. With TLS it waits until the entry host has
// shown a certificate of our authority, so that no line is sent to a stranger.
// The entry host judges ours only after that: a line that it turns away for
// its certificate is answered with unknown, though nothing was changed.
func (d *desk) dial(ctx context.Context, entry string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	dialer := &net.Dialer{}
	config, err := d.certs.Client()
	if err != nil {
		return nil, err
	}
	if config == nil {
		return dialer.DialContext(ctx, "tcp", entry)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", entry)
}

// idBytes makes ids that no two operators draw alike.
const idBytes = 8

func newID() string {
	raw := make([]byte, idBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
