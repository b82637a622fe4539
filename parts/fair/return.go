// Package fair orders requests that wait for capacity.
package fair

// Return says whether a request is new or returned after a refusal.
type Return uint8

// The kinds of return.
const (
	// New: the request was not told when to return, or returned too late.
	New Return = iota
	// OnTime: the request returned when it was told to.
	OnTime
	// Early: the request returned before it was told to.
	Early
)
