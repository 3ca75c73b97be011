// Package subcmd holds the subcommands of the program. Each adds itself to a
// table in its own file.
package subcmd

import (
	"io"
	"maps"
	"slices"

	"github.com/peterbourgon/ff/v4"
)

// Streams are what a command reads from and writes to.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Command is one entry of the table. Example is a full command line without
// the program's name; its help shows it. Build returns the command anew for
// each run.
type Command struct {
	Name    string
	Example string
	Build   func(Streams) *ff.Command
}

var commands = map[string]Command{}

// register adds a command to the table. A name used twice is a programming
// error and panics.
func register(c Command) {
	if _, ok := commands[c.Name]; ok {
		panic("subcmd: command " + c.Name + " is registered twice")
	}
	commands[c.Name] = c
}

// build returns the commands in the order of their names.
func build(s Streams) []*ff.Command {
	var built []*ff.Command
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		built = append(built, commands[name].Build(s))
	}
	return built
}
