// Command fsstand is a stand-in for one neighbour of the system.
package main

import (
	"fuchsiashelf.dev/parts/boot"
	"fuchsiashelf.dev/stand/prog"
)

func main() {
	boot.Run(prog.Main)
}
