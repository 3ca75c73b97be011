package main

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(2)
	}
	binary := cmp.Or(os.Getenv("FOXTAILMUX"), "target/foxtailmux")
	switch os.Args[1] {
	case "soak":
		seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
		length, _ := time.ParseDuration(os.Args[3])
		record, err := os.Create(os.Args[5])
		if err != nil {
			panic(err)
		}
		notes = record
		os.Exit(soak(binary, seed, length, os.Args[4]))
	case "flap", "isolated", "cancel":
		os.Exit(runCase(os.Args[1], binary, os.Args[2]))
	}
	fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
	os.Exit(2)
}
