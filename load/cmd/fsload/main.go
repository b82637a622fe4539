// Command fsload loads the system and measures it.
package main

import (
	"fuchsiashelf.dev/load/prog"
	"fuchsiashelf.dev/parts/boot"
)

func main() {
	boot.Run(prog.Main)
}
