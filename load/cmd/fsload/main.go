// Command fsload generates load on the system and measures its responses.
package main

import (
	"fuchsiashelf.dev/load/prog"
	"fuchsiashelf.dev/parts/boot"
)

func main() {
	boot.Run(prog.Main)
}
