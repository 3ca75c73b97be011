package setup_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"foxtailmux/setup"
)

// FuzzLoad checks that Load returns either valid settings or an *Error for any
// file.
func FuzzLoad(f *testing.F) {
	sample, err := os.ReadFile("sample.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(sample))
	f.Add("instance: a\ndataCentre: &x b\ncallers: {addr: *x}\n")
	f.Add("callers: !!binary aGk=\npeers: {seeds: [1, {a: b}]}\n")
	f.Add("? [a]\n: |\n  b\n--- >\n")

	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}

		s, err := setup.Load(path, nil)
		var e *setup.Error
		if err != nil && !errors.As(err, &e) {
			t.Errorf("%v is not a *setup.Error", err)
		}
		if err == nil && s.Check() != nil {
			t.Errorf("loaded %+v, which fails its check", s)
		}
	})
}
