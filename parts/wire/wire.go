// Package wire holds the messages between the system's own processes. They
// are generated from wire.proto by `make proto` and carried by drpc; nothing
// outside the system speaks them.
package wire
