// Package domain names failure domains: sets of hosts that a single fault, such
// as the loss of a power feed or a network partition, can take down or cut off
// together.
package domain

// Name is the name of a failure domain, for example "atl-a".
type Name string
