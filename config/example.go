package config

import (
	"embed"
	"io/fs"
)

//go:embed testdata/example/*.yaml
var exampleFiles embed.FS

// Example returns the configuration that the demo applies.
func Example() Document {
	files, err := fs.Sub(exampleFiles, "testdata/example")
	if err != nil {
		panic(err) // the path is a constant
	}
	doc, err := loadFS(files, "example", Plugins{})
	if err != nil {
		panic(err) // the files are embedded
	}
	return doc
}
