// Package domain names the failure domains: the sets of hosts that a single
// fault, such as the loss of a power feed or a network partition, can take
// away or cut off together.
package domain

// Name is the name of a failure domain, for example "atl-a".
type Name string
