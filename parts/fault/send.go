package fault

import (
	"errors"
	"net"
)

// SendVerdict returns the verdict of a request whose sending failed with an
// error of net/http. It is NotRun only if no connection was established. On an
// established connection, part of the request may have been sent before the
// error, and a server may run it. If the verdict were NotRun, the request would be
// sent again and could run twice.
func SendVerdict(err error) Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotRun
	}
	return MayHaveRun
}
