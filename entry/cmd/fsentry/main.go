// Command fsentry runs the router on an entry host.
package main

import (
	"fuchsiashelf.dev/entry/prog"
	"fuchsiashelf.dev/parts/boot"
)

func main() {
	boot.Serve(prog.Main)
}
