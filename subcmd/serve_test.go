package subcmd

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/setup"
)

const settingsText = "instance: a\ndataCentre: kochi\ncallers: {addr: '127.0.0.1:0'}\n"

func TestServeMergesFileVariablesAndFlags(t *testing.T) {
	var got setup.Settings
	Serve = func(_ context.Context, s setup.Settings, _ io.Writer) error {
		got = s
		return nil
	}
	t.Cleanup(func() { Serve = nil })
	t.Setenv("FOXTAILMUX_DATACENTRE", "thrissur")
	t.Setenv("FOXTAILMUX_INSTANCE", "b")

	o := execute(t, "", "serve", "-settings", writeFile(t, settingsText), "-instance", "c", "--peers.seeds=127.0.0.1:5,127.0.0.1:6")
	if diff := cmp.Diff(result{}, o); diff != "" {
		t.Error(diff)
	}

	want := setup.Default()
	want.Instance = "c"
	want.DataCentre = "thrissur"
	want.Callers.Addr = "127.0.0.1:0"
	want.Peers.Seeds = []string{"127.0.0.1:5", "127.0.0.1:6"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestServeFailsWithTheErrorOfServe(t *testing.T) {
	path := writeFile(t, settingsText)
	got := execute(t, "", "serve", "-settings", path)
	want := result{Code: 1, Err: "foxtailmux: serve: this build has no entry instance\n"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	Serve = func(context.Context, setup.Settings, io.Writer) error { return errors.New("port\nin use") }
	t.Cleanup(func() { Serve = nil })
	got = execute(t, "", "serve", "-settings", path)
	want = result{Code: 1, Err: "foxtailmux: serve: port in use\n"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestDemoRunsTheDemoFunction(t *testing.T) {
	want := result{Code: 1, Err: "foxtailmux: demo: this build has no demo\n"}
	if diff := cmp.Diff(want, execute(t, "", "demo")); diff != "" {
		t.Error(diff)
	}

	Demo = func(_ context.Context, stdout, _ io.Writer) error {
		_, err := io.WriteString(stdout, "jobs 3\n")
		return err
	}
	t.Cleanup(func() { Demo = nil })
	if diff := cmp.Diff(result{Out: "jobs 3\n"}, execute(t, "", "demo")); diff != "" {
		t.Error(diff)
	}
}

func TestServeTakesTheSettingsFileOfTheVariable(t *testing.T) {
	var got setup.Settings
	Serve = func(_ context.Context, s setup.Settings, _ io.Writer) error {
		got = s
		return nil
	}
	t.Cleanup(func() { Serve = nil })
	t.Setenv(setup.FileVariable, writeFile(t, settingsText))

	if diff := cmp.Diff(result{}, execute(t, "", "serve")); diff != "" {
		t.Error(diff)
	}
	if got.DataCentre != "kochi" {
		t.Errorf("data centre %q", got.DataCentre)
	}
}
