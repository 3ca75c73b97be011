package main

import (
	"cmp"
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	binary := cmp.Or(os.Getenv("FOXTAILMUX"), "target/foxtailmux")
	switch os.Args[1] {
	case "isolated", "scaled":
		os.Exit(runCase(os.Args[1], binary, os.Args[2]))
	}
	fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
	os.Exit(2)
}
