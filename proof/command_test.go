package proof

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/model"
)

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

// runCommand runs foxtailmux and waits until it has exited.
func runCommand(t *testing.T, args ...string) commandResult {
	t.Helper()

	var stdout, stderr bytes.Buffer
	cmd := exec.CommandContext(t.Context(), filepath.Join(binDir, "foxtailmux"), args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return commandResult{cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()}
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// decodeAnswer decodes the answer that the command submit printed.
func decodeAnswer(t *testing.T, f commandResult) model.Answer {
	t.Helper()
	var a model.Answer
	if err := json.Unmarshal([]byte(f.stdout), &a); err != nil {
		t.Fatalf("%v in %+v", err, f)
	}
	return a
}

func TestSubmitPrintsTheAnswerAndExitsByIt(t *testing.T) {
	c := startCentre(t, 1, 2)
	tooLarge := writeFile(t, "large.json", `{"team":"counter","service":"quote","tasks":[{"needs":{"cores":1000}}]}`)
	bad := writeFile(t, "bad.json", "{\n  \"team\": 1\n}")
	raw, err := json.Marshal(newJob("file", 3, 0))
	if err != nil {
		t.Fatal(err)
	}
	file := writeFile(t, "job.json", string(raw))

	cases := map[string]struct {
		args   string
		code   int
		stdout []string
		stderr string
	}{
		"complete, JSON":     {"-job " + file, 0, []string{`"result": "complete"`, `"ran": "yes"`}, ""},
		"complete, table":    {"-format table -job " + file, 0, []string{"result  complete\n", "ran     yes\n", "task 2  {"}, ""},
		"described by flags": {`-team counter -service quote -tasks 2 -payload {"nonce":"n"}`, 0, []string{`"nonce": "n"`}, ""},
		"unknown team":       {"-team nobody -service quote", 1, []string{`"ran": "no"`, `"kind": "badRequest"`}, "(ran: no): badRequest: team \"nobody\" does not exist"},
		"fits no worker":     {"-format table -job " + tooLarge, 1, []string{"failure  neverFits\n"}, "(ran: no): neverFits: "},
		"bad job file":       {"-job " + bad, 2, nil, bad + ":2:11: "},
		"missing job file":   {"-job " + bad + ".gone", 2, nil, "no such file"},
		"bad flag":           {"-colour red", 2, nil, `unknown flag "colour"`},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			got := runCommand(t, append([]string{"submit", "-entry", c.addrs[0]}, strings.Fields(want.args)...)...)
			if got.code != want.code {
				t.Errorf("exit code %d, want %d: %+v", got.code, want.code, got)
			}
			for _, part := range want.stdout {
				if !strings.Contains(got.stdout, part) {
					t.Errorf("stdout lacks %q: %s", part, got.stdout)
				}
			}
			if want.stdout == nil && got.stdout != "" {
				t.Errorf("stdout: %s", got.stdout)
			}
			if !strings.Contains(got.stderr, want.stderr) || want.stderr == "" && got.stderr != "" {
				t.Errorf("stderr, want %q: %s", want.stderr, got.stderr)
			}
		})
	}

	checkComplete(t, "file", 3, decodeAnswer(t, runCommand(t, "submit", "-entry", c.addrs[0], "-job", file)))
}

func TestSubmitTwiceWithAKeyRunsOnce(t *testing.T) {
	c := startCentre(t, 2, 4)
	job := newJob("keyed", 2, 0)
	raw, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	file := writeFile(t, "job.json", string(raw))

	first := decodeAnswer(t, runCommand(t, "submit", "-entry", c.addrs[0], "-job", file, "-key", "k"))
	second := decodeAnswer(t, runCommand(t, "submit", "-entry", c.addrs[1], "-job", file, "-key", "k"))
	checkComplete(t, "keyed", 2, first)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Error(diff)
	}

	starts := c.starts(t)
	for i := range 2 {
		if diff := cmp.Diff(1, starts[nonce("keyed", i)]); diff != "" {
			t.Errorf("starts of task %d: %s", i, diff)
		}
	}
}

func TestServeRefusesBadSettingsWithTheirPlace(t *testing.T) {
	for name, c := range map[string]struct{ text, place string }{
		"an unknown field": {"instance: a\ndataCentre: kochi\ncolour: red\n", ":3:1:"},
		"a wrong type":     {"instance: a\ndataCentre: kochi\ncallers:\n  maxBodyBytes: many\n", ":4:17:"},
		"a value too low":  {"instance: a\ndataCentre: kochi\ncallers:\n  maxBodyBytes: 1\n", ":4:17:"},
		"no YAML":          {"instance: a\n\tdataCentre: kochi\n", ":2:1:"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeFile(t, "settings.yaml", c.text)
			got := runCommand(t, "serve", "-settings", path)
			if got.code != 2 || got.stdout != "" || !strings.Contains(got.stderr, path+c.place) {
				t.Errorf("want code 2 and %s: %+v", c.place, got)
			}
		})
	}
}

func TestVersionIsPrinted(t *testing.T) {
	got := runCommand(t, "version")
	if got.code != 0 || !strings.HasPrefix(got.stdout, "foxtailmux ") || got.stderr != "" {
		t.Errorf("%+v", got)
	}
}

func TestDemoEndsByItselfWithoutAProblem(t *testing.T) {
	got := runCommand(t, "demo")
	if got.code != 0 || !strings.Contains(got.stdout, "tasks started twice): 0\n") {
		t.Errorf("%+v", got)
	}
}

func TestTermSignalLetsTheRequestInProgressEnd(t *testing.T) {
	c := startCentre(t, 1, 1)
	var answer model.Answer
	var failure error
	var group conc.WaitGroup
	group.Go(func() { answer, failure = newCaller(c.addrs[0]).submit(newJob("open", 4, 500*time.Millisecond)) })
	waitFor(t, "the tasks run", func() bool { return c.fleet.Workers[0].Status().BusySlots == 4 })

	if err := c.entries[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := c.entries[0].waitExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	group.Wait()
	if failure != nil {
		t.Fatal(failure)
	}
	checkComplete(t, "open", 4, answer)
	if cut := c.entries[0].field("cutRequests"); cut != "0" {
		t.Errorf("cutRequests is %s", cut)
	}
}
