package call

// Ending says why a response ended before it was complete.
type Ending string

// The endings. The first ones are decisions of this entry host, the others are not.
const (
	// EndedSilent means that the server was silent for too long.
	EndedSilent Ending = "silent"
	// EndedUnreachable means that the server did not answer probes.
	EndedUnreachable Ending = "unreachable"
	// EndedExited means that the server's process had ended.
	EndedExited Ending = "exited"
	// EndedNoChain means that a server behind the first one did not answer, and that no
	// other chain began at the first one.
	EndedNoChain Ending = "no-chain"
	// EndedLinkCut means that the server was not reached directly any more.
	EndedLinkCut Ending = "link-cut"
	// EndedDeadline means that the time of the caller or of the route was over.
	EndedDeadline Ending = "deadline"

	// EndedBroken means that the server or the connection to it broke off.
	EndedBroken Ending = "broken"
	// EndedRefused means that servers refused the request.
	EndedRefused Ending = "refused"
	// EndedCaller means that the caller left.
	EndedCaller Ending = "caller"
)

// ByHost reports whether this entry host decided to end the response.
func (e Ending) ByHost() bool {
	switch e {
	case EndedSilent, EndedUnreachable, EndedExited, EndedNoChain, EndedLinkCut, EndedDeadline:
		return true
	case EndedBroken, EndedRefused, EndedCaller:
	}
	return false
}
