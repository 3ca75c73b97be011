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

// Plugins lists the plug-in names that a document may use. A nil list disables
// the check of its kind.
type Plugins struct {
	Policies []string
	Orders   []string
}

// Load reads the YAML files of a folder, merges them over Default in the order
// of their names and validates the result. If rules are broken, the error wraps
// Problems with all of them.
func Load(folder string, plugins Plugins) (Document, error) {
	return loadFS(os.DirFS(folder), folder, plugins)
}

func loadFS(files fs.FS, folder string, plugins Plugins) (Document, error) {
	names, err := yamlFiles(files)
	if err != nil {
		return Document{}, &Error{Op: "load", Kind: KindInvalid, Err: err}
	}
	if len(names) == 0 {
		return Document{}, invalidError(Problems{{Position: Position{File: folder}, Rule: "the folder must hold a YAML file"}})
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

	// A value that failed to decode would be reported again by its rule, so
	// rules are checked only if everything was decoded.
	if len(m.problems) == 0 {
		m.problems = m.locate(Validate(doc, plugins))
	}
	if len(m.problems) > 0 {
		return Document{}, invalidError(m.problems)
	}
	return doc.sorted(), nil
}

func invalidError(p Problems) error {
	return &Error{Op: "load", Kind: KindInvalid, Err: p}
}

// yamlFiles returns the names of the YAML files at the top level, sorted.
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
		m.addSyntaxError(err)
		return
	}
	if len(file.Docs) > 1 {
		m.addProblem(position(m.file, file.Docs[1].GetToken()), "", "a file must hold one YAML document")
		return
	}

	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType {
			continue
		}
		m.mapping(d.Body, reflect.ValueOf(doc).Elem(), "")
	}
}

func (m *merger) addSyntaxError(err error) {
	var failure yaml.Error
	if !errors.As(err, &failure) {
		m.addProblem(Position{File: m.file, Line: 1, Column: 1}, "", err.Error())
		return
	}
	m.addProblem(position(m.file, failure.GetToken()), "", "must be valid YAML: "+failure.GetMessage())
}

// locate sets the positions of problems of the merged document: the place that
// last set the value, else that of the nearest enclosing field or item.
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
