package config

import (
	"errors"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// Plugins hold the plug-in names that a document may use. A nil list leaves
// its names unchecked.
type Plugins struct {
	Policies []string
	Orders   []string
}

// Load merges the YAML files of a folder in the order of their names over
// Default and checks the result. Every broken rule is in the Problems of the
// error.
func Load(folder string, o Plugins) (Document, error) {
	return loadFS(os.DirFS(folder), folder, o)
}

func loadFS(files fs.FS, folder string, o Plugins) (Document, error) {
	names, err := yamlFiles(files)
	if err != nil {
		return Document{}, &Error{Op: "load", Kind: KindInvalid, Err: err}
	}
	if len(names) == 0 {
		return Document{}, invalid(Problems{{Position: Position{File: folder}, Rule: "the folder must hold a YAML file"}})
	}

	doc := Default()
	m := merger{positions: map[string]Position{}}
	for _, name := range names {
		data, err := fs.ReadFile(files, name)
		if err != nil {
			return Document{}, &Error{Op: "load", Kind: KindInvalid, Err: eris.Wrap(err, "read")}
		}
		m.file = filepath.Join(folder, name)
		m.mergeFile(data, &doc)
	}

	// Rules about values that were not decoded would only repeat a problem.
	if len(m.problems) == 0 {
		m.problems = m.locate(Validate(doc, o))
	}
	if len(m.problems) > 0 {
		return Document{}, invalid(m.problems)
	}
	return doc.sorted(), nil
}

func invalid(p Problems) error {
	return &Error{Op: "load", Kind: KindInvalid, Err: p}
}

func yamlFiles(files fs.FS) ([]string, error) {
	entries, err := fs.ReadDir(files, ".")
	if err != nil {
		return nil, eris.Wrap(err, "read the folder")
	}

	var names []string
	for _, e := range entries {
		extension := path.Ext(e.Name())
		if !e.IsDir() && (extension == ".yaml" || extension == ".yml") {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *merger) mergeFile(data []byte, doc *Document) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		m.syntax(err)
		return
	}
	if len(file.Docs) > 1 {
		m.add(position(m.file, file.Docs[1].GetToken()), "", "a file must hold one YAML document")
		return
	}

	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		m.mapping(d.Body, reflect.ValueOf(doc).Elem(), "")
	}
}

func (m *merger) syntax(err error) {
	var failure yaml.Error
	if !errors.As(err, &failure) {
		m.add(Position{File: m.file, Line: 1, Column: 1}, "", err.Error())
		return
	}
	m.add(position(m.file, failure.GetToken()), "", "must be valid YAML: "+failure.GetMessage())
}

// locate places problems of the merged document at the line that last set
// the value, or at the nearest enclosing one.
func (m *merger) locate(problems Problems) Problems {
	for i, p := range problems {
		for at := p.Path; at != ""; at = parentPath(at) {
			if where, ok := m.positions[at]; ok {
				problems[i].Position = where
				break
			}
		}
	}
	return problems
}
