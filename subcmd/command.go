// Package subcmd implements the subcommands of the program. The file of each subcommand
// registers it.
package subcmd

import (
	"io"
	"maps"
	"slices"

	"github.com/peterbourgon/ff/v4"
)

// Streams are the standard streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Command is a registered subcommand. Example is a complete command line without the
// program's name, which the help shows. Build returns the command; it is called for each run
// of the program, so that runs in one process, such as those of tests, share no flags.
type Command struct {
	Name    string
	Example string
	Build   func(Streams) *ff.Command
}

var commands = map[string]Command{}

// register adds a command. It panics if the name is registered already, which is a
// programming error.
func register(c Command) {
	if _, ok := commands[c.Name]; ok {
		panic("subcmd: command " + c.Name + " is registered twice")
	}
	commands[c.Name] = c
}

// buildCommands returns the registered commands sorted by name.
func buildCommands(s Streams) []*ff.Command {
	var built []*ff.Command
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		built = append(built, commands[name].Build(s))
	}
	return built
}
