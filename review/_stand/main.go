// Command stand plays the cases of the review: it starts instances of the project as processes,
// with stand-ins for the platform's store, its workers and its clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(e *env){
	"parts":     parts,
	"reborn":    reborn,
	"silent":    silent,
	"perserver": perServer,
	"cancel":    cancelled,
	"frozen":    frozen,
	"drain":     draining,
	"unused":    unused,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(unable)
	}
	if _, err := os.Stat("target/foxtailmux"); err != nil {
		fmt.Fprintln(os.Stderr, "target/foxtailmux is missing: run the build of the deploy file")
		os.Exit(unable)
	}
	cases[os.Args[1]](newEnv(os.Args[2]))
}
