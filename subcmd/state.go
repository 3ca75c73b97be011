package subcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/setup"
)

const (
	stateExample = "state -operators 127.0.0.1:8701"
	statePath    = "/state"
	stateTimeout = 10 * time.Second
)

func init() {
	register(Command{Name: "state", Example: stateExample, Build: newState})
}

func newState(s Streams) *ff.Command {
	fs := newFlags("state")
	addr := fs.String("operators", setup.Default().Operators.Addr, "IP:port of the instance's operators' port")
	key := fs.String("key", "", "operator's key; default is the variable "+setup.KeyVariable)

	return &ff.Command{
		Name:      "state",
		Usage:     program + " state [FLAGS]",
		ShortHelp: "print the state of a running instance",
		LongHelp:  longHelp("Prints the state of a running instance as JSON.", stateExample),
		Flags:     ff.NewFlagSetFrom("state", fs),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs("state", args); err != nil {
				return err
			}
			return state(ctx, s, *addr, operatorKey(*key))
		},
	}
}

// operatorKey returns the key of the flag, or else that of the environment variable.
func operatorKey(flag string) string {
	if flag != "" {
		return flag
	}
	return os.Getenv(setup.KeyVariable)
}

// state prints the state dump of the instance whose port for operators has the address.
func state(ctx context.Context, s Streams, addr, key string) error {
	if err := setup.CheckDialAddr(addr); err != nil {
		return usageError("state", "flag -operators: %v", err)
	}

	x := exchange{method: http.MethodGet, path: statePath, key: key, timeout: stateTimeout}
	if _, err := x.send(ctx, []string{addr}); err != nil {
		return failedError("state", "%s does not answer: %v", addr, err)
	}
	if x.status != http.StatusOK {
		return failedError("state", "%s answers %d %s: %s", addr, x.status, http.StatusText(x.status), excerpt(x.response))
	}

	var out bytes.Buffer
	if err := json.Indent(&out, x.response, "", "  "); err != nil {
		return failedError("state", "%s does not answer with JSON: %s", addr, excerpt(x.response))
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(s.Out)
	return err
}

const maxExcerptBytes = 200

// excerpt returns the start of a response for an error message.
func excerpt(response []byte) string {
	if len(response) > maxExcerptBytes {
		return string(response[:maxExcerptBytes]) + "…"
	}
	return string(response)
}
