package fault

import (
	"errors"
	"net"
)

// SendVerdict returns the verdict of a request whose sending failed with an error
// of net/http. It is NotRun only if no connection was ever made. On a
// connection, part of the request may have left before the error came, and a
// server may act on it; taken for not run, it would be sent again.
func SendVerdict(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}
