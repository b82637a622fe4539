// Package wire holds the messages between the system's own processes. They
// are generated from wire.proto by `make proto` and sent over drpc. No other
// program uses them.
package wire
