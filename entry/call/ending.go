package call

// Ending says why a response ended before it was complete.
type Ending string

// The endings. The first ones are decisions of this entry host, the others are not.
const (
	// EndedSilent means that the server was silent, and that another one has answered.
	EndedSilent Ending = "silent"
	// EndedExited means that the server's process had ended.
	EndedExited Ending = "exited"
	// EndedNoChain means that a server behind the first one was lost, and that no
	// other chain began at the first one.
	EndedNoChain Ending = "no-chain"
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
	case EndedSilent, EndedExited, EndedNoChain, EndedDeadline:
		return true
	case EndedBroken, EndedRefused, EndedCaller:
	}
	return false
}
