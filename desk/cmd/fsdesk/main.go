// Command fsdesk is the operators' command-line client.
package main

import (
	"fuchsiashelf.dev/desk/prog"
	"fuchsiashelf.dev/parts/boot"
)

func main() {
	boot.Run(prog.Main)
}
