// Command fsstand runs a stand-in for an external dependency of the system.
package main

import (
	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/stand/prog"
)

func main() {
	boot.Run(prog.Main)
}
