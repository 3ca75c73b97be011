package subcmd

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/config"
	"foxtailmux/fakes"
)

const exampleFolder = "../config/testdata/example"

func startPlatform(t *testing.T) *fakes.Platform {
	t.Helper()
	p, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// exampleWith returns a copy of the example folder with one more file, zz.yaml, of the text.
func exampleWith(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleFolder)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "zz.yaml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestConfigPageHoldsTheFlagsAndExamplesOfEachCommand(t *testing.T) {
	text := readPage(t, "../doc/foxtailmux-config.md")
	for _, c := range newConfig(Streams{}).Subcommands {
		checkFlags(t, "config "+c.Name, c, text)
		_, example, _ := strings.Cut(c.LongHelp, "EXAMPLE\n  ")
		if example == "" || !strings.Contains(text, "\n    "+example+"\n") {
			t.Errorf("the page lacks the example %q", example)
		}
	}
}

func TestConfigCheckNamesFileLineColumnAndRule(t *testing.T) {
	good := execute(t, "", "config", "check", exampleFolder)
	want := result{Out: exampleFolder + " is valid, digest " + config.Example().Digest() + "\n"}
	if diff := cmp.Diff(want, good); diff != "" {
		t.Error(diff)
	}

	dir := exampleWith(t, "placement:\n  policy: nowhere\nretry:\n  maxAttempts: 0\n")
	at := filepath.Join(dir, "zz.yaml")
	bad := execute(t, "", "config", "check", dir)
	if bad.Code != ExitUsage || strings.Count(bad.Err, "\n") != 1 {
		t.Errorf("%+v", bad)
	}
	for _, part := range []string{at + ":2:11: placement.policy: must name a plug-in (", at + ":4:16: retry.maxAttempts: ", "2 rules broken\n"} {
		if !strings.Contains(bad.Out, part) {
			t.Errorf("%q is not in %s", part, bad.Out)
		}
	}

	var report config.CheckReport
	asJSON := execute(t, "", "config", "check", "--json", dir)
	if err := json.Unmarshal([]byte(asJSON.Out), &report); err != nil || asJSON.Code != ExitUsage {
		t.Fatal(err, asJSON)
	}
	if diff := cmp.Diff(config.Position{File: at, Line: 2, Column: 11}, report.Problems[len(report.Problems)-1].Position); diff != "" {
		t.Error(diff)
	}
}

func TestConfigUsage(t *testing.T) {
	for args, want := range map[string]string{
		"":                                  "config: no command; see foxtailmux config -h",
		"fly":                               `config: unknown command "fly"; see foxtailmux config -h`,
		"check":                             "config check: give the folder",
		"check a b":                         `config check: unexpected argument "b"`,
		"check a --colour":                  "config check: flag provided but not defined: -colour",
		"check no/such":                     "config check: read the folder: open .: no such file or directory",
		"apply a":                           "config apply: give the reason of the change with -why",
		"apply a --why ":                    "config apply: give the reason of the change with -why",
		"apply a --why b --on -2":           "config apply: flag -on: -2 is no number of a version",
		"apply a --why b --platform here:1": `config apply: flag -platform: "here:1" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`,
		"diff a --timeout 0s":               "config diff: flag -timeout: 0s is not above 0",
		"status now":                        `config status: unexpected argument "now"`,
		"status --operators here":           `config status: flag -operators: "here" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`,
		"history now":                       `config history: unexpected argument "now"`,
	} {
		t.Run(args, func(t *testing.T) {
			words := []string{"config"}
			if args != "" {
				words = append(words, strings.Split(args, " ")...)
			}
			got := execute(t, "", words...)
			if diff := cmp.Diff(result{Code: ExitUsage, Err: "foxtailmux: " + want + "\n"}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Covers the work of two operators: ana applies the first version, a change based on an
// outdated version loses, and the history shows each change and detects a corrupt document.
func TestConfigDiffApplyAndHistoryAgree(t *testing.T) {
	p := startPlatform(t)
	run := func(code int, args ...string) string {
		t.Helper()
		got := execute(t, "", append([]string{"config"}, append(args, "--platform", p.Addr())...)...)
		if got.Code != code {
			t.Fatalf("%v: %+v", args, got)
		}
		return got.Out
	}
	changed := exampleWith(t, "limits:\n  maxOpenJobs: 77\n")

	run(ExitDone, "apply", exampleFolder, "--why", "first", "--who", "ana", "--on", "0")
	diff := run(ExitDone, "diff", changed)
	for _, part := range []string{"in force: version 1 ", "  limits.maxOpenJobs: 5000 → 77\n", "1 changes\n"} {
		if !strings.Contains(diff, part) {
			t.Errorf("%q is not in %s", part, diff)
		}
	}

	var lost failure
	if err := json.Unmarshal([]byte(run(ExitFailed, "apply", changed, "--why", "w", "--on", "0", "--json")), &lost); err != nil {
		t.Fatal(err)
	}
	if lost.Error.Kind != config.KindRaceLost || lost.Error.Winner.Who != "ana" {
		t.Errorf("%+v", lost)
	}
	if out := run(ExitDone, "apply", changed, "--why", "fewer jobs", "--on", "1"); !strings.HasPrefix(out, "applied: version 2 by ") {
		t.Error(out)
	}
	if out := run(ExitDone, "apply", changed, "--why", "again"); !strings.HasPrefix(out, "already in force, nothing changed: version 2 ") {
		t.Error(out)
	}

	history := run(ExitDone, "history", "--changes")
	for _, part := range []string{"  ana ", "  first\n", "  fewer jobs\n", "version 2\n    limits.maxOpenJobs: 5000 → 77\n", "hash chain verified: true\n"} {
		if !strings.Contains(history, part) {
			t.Errorf("%q is not in %s", part, history)
		}
	}
	var report config.HistoryReport
	if err := json.Unmarshal([]byte(run(ExitDone, "history", "--json")), &report); err != nil || len(report.Entries) != 2 {
		t.Error(err, report)
	}

	p.SetFaults(fakes.PlatformFaults{CorruptObjects: true})
	if out := run(ExitFailed, "history", "--changes"); !strings.Contains(out, "broken: document of entry 1: ") {
		t.Error(out)
	}
	run(ExitDone, "history")
}

func TestConfigCommandsFailOnAStoreThatIsDown(t *testing.T) {
	p := startPlatform(t)
	p.SetFaults(fakes.PlatformFaults{Down: true})
	for _, args := range [][]string{
		{"apply", exampleFolder, "--why", "w"}, {"diff", exampleFolder}, {"history"},
	} {
		got := execute(t, "", append([]string{"config"}, append(args, "--json", "--platform", p.Addr(), "--timeout", (3*time.Second).String())...)...)
		if got.Code != ExitFailed || !strings.Contains(got.Out, `"kind": "store"`) {
			t.Errorf("%v: %+v", args, got)
		}
	}
}

func TestConfigStatusFailsUnlessAllAnswer(t *testing.T) {
	got := execute(t, "", "config", "status", "--operators", refusingAddr(t))
	if got.Code != ExitFailed || !strings.Contains(got.Out, "not reachable: ") || !strings.Contains(got.Out, "same version everywhere: false\n") {
		t.Errorf("%+v", got)
	}
}

func TestConfigHelpOfEachCommandIsPrinted(t *testing.T) {
	for _, c := range newConfig(Streams{}).Subcommands {
		got := execute(t, "", "config", c.Name, "-h")
		if got.Code != ExitDone || !strings.Contains(got.Out, c.ShortHelp) {
			t.Errorf("%s: %+v", c.Name, got)
		}
	}
}
