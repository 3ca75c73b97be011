package subcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// result is the exit code and the output of a command.
type result struct {
	Code int
	Out  string
	Err  string
}

// execute runs the program with the arguments and the text on standard input.
func execute(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &out, &errs)
	return result{code, out.String(), errs.String()}
}

// writeFile returns the path of a temporary file with the text.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestBadUsageExitsWith2AndOneLine(t *testing.T) {
	const describe = "-team a -service b "
	for args, want := range map[string]string{
		"":                                     "no command; see foxtailmux -h",
		"fly":                                  `unknown command "fly"; see foxtailmux -h`,
		"-x":                                   `unknown flag "x"`,
		"version now":                          `version: unexpected argument "now"`,
		"demo -fast":                           `demo: unknown flag "fast"`,
		"state -operators":                     "state: missing value",
		"state -operators host:1":              `state: flag -operators: "host:1" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`,
		"state -operators 127.0.0.1:0":         `state: flag -operators: "127.0.0.1:0" has port 0, which can't be reached`,
		"serve -peers.seeds= -instance a":      "flag -peers.seeds has no value",
		"serve -stop.limit soon":               `serve: --stop.limit: set "soon": parse error`,
		"serve -settings no/such.yaml":         "serve: no/such.yaml: no such file or directory",
		"serve -instance a":                    "serve: dataCentre: must be given",
		"serve -instance a/b -dataCentre d":    `serve: flag --instance: instance: "a/b" has a character other than letters, digits, dot, dash and underscore`,
		"submit":                               "submit: give -job, or -team and -service",
		"submit -job x -team a":                "submit: -job can't be combined with -team, -service, -tasks, -payload, -expected or -repeatable",
		"submit -job no/such.json":             "submit: open no/such.json: no such file or directory",
		"submit -entry 127.0.0.1:1,here":       `submit: flag -entry: "here" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`,
		"submit -ticket -key k":                "submit: -ticket can't be combined with -key",
		"submit -format xml":                   `submit: flag -format: "xml" is none of json and table`,
		"submit " + describe + "-tasks 0":      "submit: flag -tasks: 0 is not between 1 and 100000",
		"submit " + describe + "-tasks many":   `submit: --tasks: set "many": parse error`,
		"submit " + describe + "-payload {":    `submit: flag -payload: "{" is not JSON`,
		"submit " + describe + "-deadline -1s": "submit: flag -deadline: -1s is not between 1ms and 24h0m0s",
		"submit " + describe + "-expected -1s": "submit: flag -expected: -1s is negative",
	} {
		t.Run(args, func(t *testing.T) {
			got := execute(t, "", strings.Fields(args)...)
			if diff := cmp.Diff(result{Code: 2, Err: "foxtailmux: " + want + "\n"}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestBadJobFileNamesThePlace(t *testing.T) {
	for text, want := range map[string]string{
		"":                                ": EOF",
		"{\n  \"team\": 1}":               ":2:11: json: cannot unmarshal number into Go struct field Job.team of type string",
		"{\n \"team\" \"a\"}":             `:2:9: invalid character '"' after object key`,
		`{"colour": 1}`:                   `: json: unknown field "colour"`,
		`{} {}`:                           ": holds more than one job",
		`{"service": "b", "tasks": [{}]}`: ": team must be given",
		`{"team": "a", "tasks": [{}]}`:    ": service must be given",
		`{"team": "a", "service": "b"}`:   ": tasks must hold at least one task",
		`{"team": "a", "service": "b", "tasks": [{}], "deadlineMillis": 9223372036854775807}`: ": deadlineMillis: 9223372036854775807 is not between 0 and 86400000",
	} {
		path := writeFile(t, text)
		got := execute(t, "", "submit", "-job", path)
		if diff := cmp.Diff(result{Code: 2, Err: "foxtailmux: submit: " + path + want + "\n"}, got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestHelpShowsAnExampleThatParses(t *testing.T) {
	for name, c := range commands {
		t.Run(name, func(t *testing.T) {
			got := execute(t, "", name, "-h")
			if got.Code != ExitDone || !strings.Contains(got.Out, "foxtailmux "+c.Example+"\n") {
				t.Errorf("no example in %+v", got)
			}

			var args []string
			for _, arg := range strings.Fields(c.Example) {
				args = append(args, strings.Trim(arg, "'"))
			}
			if err := newRoot(Streams{}).Parse(args); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestRootHelpListsEveryCommand(t *testing.T) {
	got := execute(t, "", "--help")
	if got.Code != ExitDone || got.Err != "" {
		t.Errorf("got %+v", got)
	}
	for name := range commands {
		if !strings.Contains(got.Out, "\n  "+name+" ") {
			t.Errorf("%s is missing in %s", name, got.Out)
		}
	}
}

func TestVersionNamesTheProgram(t *testing.T) {
	got := execute(t, "", "version")
	if got.Code != ExitDone || !strings.HasPrefix(got.Out, "foxtailmux "+Version+" go") {
		t.Errorf("got %+v", got)
	}
}
