package setup_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/setup"
)

func validSettings() setup.Settings {
	s := setup.Default()
	s.Instance = "entry-1"
	s.DataCentre = "kochi"
	return s
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestSampleHoldsEveryDefault(t *testing.T) {
	got, err := setup.Load("sample.yaml", nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(validSettings(), got); diff != "" {
		t.Error(diff)
	}

	text, err := os.ReadFile("sample.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range fieldPaths(reflect.TypeFor[setup.Settings](), "") {
		key := name[strings.LastIndex(name, ".")+1:] + ":"
		if !strings.Contains(string(text), key) {
			t.Errorf("sample.yaml leaves out %s", name)
		}
	}
}

// fieldPaths returns the paths of all fields of a struct, such as callers.addr.
func fieldPaths(t reflect.Type, prefix string) []string {
	var names []string
	for f := range t.Fields() {
		name := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			names = append(names, fieldPaths(f.Type, name+".")...)
			continue
		}
		names = append(names, name)
	}
	return names
}

func TestEveryFieldHasAFlag(t *testing.T) {
	var s setup.Settings
	fs := setup.Flags(&s)
	for _, name := range fieldPaths(reflect.TypeFor[setup.Settings](), "") {
		if fs.Lookup(name) == nil {
			t.Errorf("no flag for %s", name)
		}
	}
}

func TestPageListsEveryDefault(t *testing.T) {
	text, err := os.ReadFile("../doc/foxtailmux-settings.md")
	if err != nil {
		t.Fatal(err)
	}

	s := setup.Default()
	setup.Flags(&s).VisitAll(func(f *flag.Flag) {
		row := "| `" + f.Name + "` | "
		if f.DefValue != "" {
			row += f.DefValue + " |"
		}
		if !strings.Contains(string(text), row) {
			t.Errorf("the page lacks %q", row)
		}
	})
}

func TestFlagsGoAboveEnvironmentAboveFile(t *testing.T) {
	path := writeSettings(t, "instance: a\ndataCentre: kochi\ncallers: {addr: '127.0.0.1:1'}\nstop: {limit: 20s}\n")
	environ := []string{
		"HOME=/",
		"FOXTAILMUX_KEY=secret",
		"FOXTAILMUX_CALLERS_ADDR=127.0.0.1:2",
		"FOXTAILMUX_PEERS_SEEDS=127.0.0.1:5, 127.0.0.2:5",
		"FOXTAILMUX_INSTANCE=b",
	}

	got, err := setup.Load(path, environ, setup.Override{Name: "instance", Value: "c"})
	if err != nil {
		t.Fatal(err)
	}

	want := validSettings()
	want.Instance = "c"
	want.Callers.Addr = "127.0.0.1:2"
	want.Peers.Seeds = []string{"127.0.0.1:5", "127.0.0.2:5"}
	want.Stop.Limit = 20 * time.Second
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestWrongFileNamesLineColumnAndRule(t *testing.T) {
	const head = "instance: a\ndataCentre: kochi\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":  {head + "callers:\n  adr: x\n", `4:3: unknown field "adr"`},
		"wrong type":     {head + "limits:\n  openJobs: many\n", "4:13: cannot unmarshal string into Go struct field Settings.Limits of type int"},
		"duplicate key":  {head + "instance: b\n", `3:1: mapping key "instance" already defined at [1:1]`},
		"bad duration":   {head + "stop:\n  limit: 20\n", "4:10: cannot unmarshal uint64 into Go struct field Settings.Stop of type time.Duration"},
		"long duration":  {head + "stop:\n  limit: 2h\n", "4:10: stop.limit: 2h0m0s is not between 1ms and 1h0m0s"},
		"overflow":       {head + "limits:\n  openJobs: 99999999999999999999\n", "4:13: cannot unmarshal 99999999999999999999 into Go value of type int ( overflow )"},
		"list":           {"- a\n", "1:1: sequence was used where mapping is expected"},
		"host name":      {head + "callers:\n  addr: localhost:80\n", `4:9: callers.addr: "localhost:80" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`},
		"bad port":       {head + "callers:\n  addr: 127.0.0.1:70000\n", `4:9: callers.addr: "127.0.0.1:70000" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`},
		"seed port 0":    {head + "peers:\n  seeds: ['127.0.0.1:0']\n", `4:10: peers.seeds: "127.0.0.1:0" has port 0, which can't be reached`},
		"peers anywhere": {head + "peers:\n  addr: 0.0.0.0:1\n", `4:9: peers.addr: "0.0.0.0:1" is passed on to peers and must name one interface`},
		"shared address": {head + "operators:\n  addr: 0.0.0.0:8700\n", "4:9: operators.addr: 0.0.0.0:8700 is the address of callers.addr too"},
		"range":          {head + "limits:\n  openJobs: 0\n", "4:13: limits.openJobs: 0 is not between 1 and 1000000"},
		"stop order":     {head + "stop:\n  limit: 1s\n", "4:10: stop.limit: 1s is not longer than stop.drainDelay, 3s"},
		"level":          {head + "log:\n  level: loud\n", `4:10: log.level: "loud" is none of [debug info warn error]`},
		"name":           {"instance: a b\ndataCentre: kochi\n", `1:11: instance: "a b" has a character other than letters, digits, dot, dash and underscore`},
		"empty":          {"", " instance: must be given"},
		"two documents":  {head + "---\nlog: {}\n", " holds more than one YAML document"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeSettings(t, c.text)
			_, err := setup.Load(path, nil)
			var e *setup.Error
			if !errors.As(err, &e) {
				t.Fatalf("%v is not a *setup.Error", err)
			}
			if diff := cmp.Diff(path+":"+c.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWrongOverrideNamesItsSource(t *testing.T) {
	base := []string{"FOXTAILMUX_INSTANCE=a", "FOXTAILMUX_DATACENTRE=b"}
	for pair, want := range map[string]string{
		"FOXTAILMUX_COLOUR=red":       "variable FOXTAILMUX_COLOUR: sets no field",
		"FOXTAILMUX_LOG_LEVEL=loud":   `variable FOXTAILMUX_LOG_LEVEL: log.level: "loud" is none of [debug info warn error]`,
		"FOXTAILMUX_STOP_LIMIT=never": `variable FOXTAILMUX_STOP_LIMIT: "never": parse error`,
	} {
		_, err := setup.Load("", append(base, pair))
		if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
			t.Error(diff)
		}
	}

	_, err := setup.Load("", base, setup.Override{Name: "callers.addr", Value: "here"})
	want := `flag --callers.addr: callers.addr: "here" is not IP:port, such as 127.0.0.1:8700 or [::1]:8700`
	if diff := cmp.Diff(want, fmt.Sprint(err)); diff != "" {
		t.Error(diff)
	}
}

func TestMissingFileIsAFileError(t *testing.T) {
	_, err := setup.Load(filepath.Join(t.TempDir(), "none.yaml"), nil)
	var e *setup.Error
	if !errors.As(err, &e) || e.Kind != setup.KindFile || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want a *setup.Error of KindFile that wraps os.ErrNotExist", err)
	}
}
