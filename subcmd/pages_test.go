package subcmd

import (
	"os"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v4"
)

const settingsPage = "../doc/foxtailmux-settings.md"

// readPage returns the text of a documentation page.
func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestEveryCommandHasAPageWithItsExampleAndFlags(t *testing.T) {
	root := readPage(t, "../doc/foxtailmux.md")
	for name, c := range commands {
		text := readPage(t, "../doc/foxtailmux-"+name+".md")
		if !strings.Contains(text, "\n    foxtailmux "+c.Example+"\n") {
			t.Errorf("the page of %s lacks the example %q", name, c.Example)
		}
		if !strings.Contains(root, "| `"+name+"` |") {
			t.Errorf("foxtailmux.md does not list %s", name)
		}
		if name == "serve" {
			text += readPage(t, settingsPage)
		}
		checkFlags(t, name, c.Build(Streams{}), text)
	}
}

// checkFlags checks that the text of a page mentions every flag of a command.
func checkFlags(t *testing.T, name string, c *ff.Command, text string) {
	t.Helper()
	if c.Flags == nil {
		return
	}

	err := c.Flags.WalkFlags(func(f ff.Flag) error {
		flag, _ := f.GetLongName()
		if !strings.Contains(text, "`"+flag+"`") && !strings.Contains(text, "`-"+flag+"`") {
			t.Errorf("the page of %s lacks the flag -%s", name, flag)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
