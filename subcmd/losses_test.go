package subcmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const answeredLine = `{"time":"2026-01-01T00:00:01Z","instance":"entry-0","dataCentre":"kochi","message":"request answered","job":"a","queue":"q","status":503,"reason":"no home is in reach","tookMillis":100}`

func TestLossesPrintsTablesAndWritesAPlot(t *testing.T) {
	dir := t.TempDir()
	file, plot := filepath.Join(dir, "instances.log"), filepath.Join(dir, "losses.png")
	second := strings.Replace(strings.Replace(answeredLine, `"a"`, `"b"`, 1), "00:00:01Z", "00:00:05Z", 1)
	if err := os.WriteFile(file, []byte(answeredLine+"\n"+second+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	if code := Run(t.Context(), []string{"losses", "-plot", plot, file}, strings.NewReader(""), &out, &errs); code != ExitDone {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	for _, text := range []string{"no home is in reach", "kochi 2", "00:00:00.000"} {
		if !strings.Contains(out.String(), text) {
			t.Errorf("the output lacks %q:\n%s", text, out.String())
		}
	}
	if info, err := os.Stat(plot); err != nil || info.Size() == 0 {
		t.Errorf("plot: %v", err)
	}
}

func TestLossesRejectsWrongInput(t *testing.T) {
	for name, c := range map[string]struct {
		args  []string
		input string
		want  string
	}{
		"no request":    {[]string{"losses"}, "hello\n", "no answered request"},
		"missing file":  {[]string{"losses", "/no/such/file"}, "", "no such file"},
		"wrong window":  {[]string{"losses", "-window", "0s"}, answeredLine, "-window"},
		"too long line": {[]string{"losses"}, strings.Repeat("x", 2<<20), "read log"},
	} {
		var out, errs strings.Builder
		if code := Run(t.Context(), c.args, strings.NewReader(c.input), &out, &errs); code != ExitUsage {
			t.Errorf("%s: exit code %d", name, code)
		}
		if !strings.Contains(errs.String(), c.want) {
			t.Errorf("%s: %q lacks %q", name, errs.String(), c.want)
		}
	}
}
