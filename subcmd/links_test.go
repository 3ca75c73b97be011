package subcmd

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var (
	// link matches a link to a file, packageRow the row of a package in the table of
	// README.md.
	link       = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
	packageRow = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|")
)

func TestLinksOfThePagesLeadToFiles(t *testing.T) {
	for _, pattern := range []string{"../*.md", "../doc/*.md", "../docs/*.md"} {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %d pages, %v", pattern, len(paths), err)
		}
		for _, path := range paths {
			for _, found := range link.FindAllStringSubmatch(readPage(t, path), -1) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(path), found[1])); err != nil {
					t.Errorf("%s links to %s: %v", path, found[1], err)
				}
			}
		}
	}
}

func TestReadmeListsEveryPackage(t *testing.T) {
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var built []string
	for _, file := range files {
		built = append(built, filepath.Base(filepath.Dir(file)))
	}
	slices.Sort(built)

	var listed []string
	_, layout, _ := strings.Cut(readPage(t, "../README.md"), "## Layout")
	for _, row := range packageRow.FindAllStringSubmatch(layout, -1) {
		listed = append(listed, row[1])
	}
	slices.Sort(listed)
	if diff := cmp.Diff(slices.Compact(built), listed); diff != "" {
		t.Error(diff)
	}
}
