package setup

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

const maxFileBytes = mebibyte

// Load returns the settings from the file at path, the FOXTAILMUX_ variables in
// environ and the flags. Variables override the file, flags override both, and
// fields that none of them sets have their defaults. With an empty path no file
// is read. Every error is an *Error with the source of the invalid value.
func Load(path string, environ []string, flags ...Override) (Settings, error) {
	s := Default()
	l := loader{path: path, sources: map[string]string{}}

	if err := l.readFile(&s); err != nil {
		return Settings{}, err
	}

	fs := Flags(&s)
	if err := l.applyEnviron(fs, environ); err != nil {
		return Settings{}, err
	}
	if err := l.applyFlags(fs, flags); err != nil {
		return Settings{}, err
	}

	if err := s.Check(); err != nil {
		return Settings{}, l.locate(err)
	}
	return s, nil
}

// loader keeps the sources of the fields for errors. text is the content of the
// file; sources holds, by field path, the variable or flag that set a field.
type loader struct {
	path    string
	text    []byte
	sources map[string]string
}

func (l *loader) readFile(s *Settings) error {
	if l.path == "" {
		return nil
	}

	text, err := readLimited(l.path)
	if err != nil {
		return &Error{Op: "load", Kind: KindFile, Source: l.path, Err: err}
	}

	l.text = text
	return l.decode(s)
}

// readLimited fails for a file larger than maxFileBytes.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer file.Close()

	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, withoutPath(err)
	}
	if len(text) > maxFileBytes {
		return nil, eris.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return text, nil
}

// withoutPath removes the path from an os error, since Error.Source holds it.
func withoutPath(err error) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// decode parses the YAML text into s. Unknown fields and a second YAML document
// are errors.
func (l *loader) decode(s *Settings) error {
	d := yaml.NewDecoder(bytes.NewReader(l.text), yaml.Strict())
	err := d.Decode(s)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return l.syntaxError(err)
	}

	var next any
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		cause := eris.New("holds more than one YAML document")
		return &Error{Op: "load", Kind: KindSyntax, Source: l.path, Err: cause}
	}
	return nil
}

// syntaxError adds the line and column of a YAML error if it has them.
func (l *loader) syntaxError(err error) error {
	e := &Error{Op: "load", Kind: KindSyntax, Source: l.path, Err: err}

	var located yaml.Error
	if !errors.As(err, &located) {
		return e
	}

	e.Err = eris.New(located.GetMessage())
	if t := located.GetToken(); t != nil {
		e.Line = t.Position.Line
		e.Column = t.Position.Column
	}
	return e
}

func (l *loader) applyEnviron(fs *flag.FlagSet, environ []string) error {
	fields := map[string]string{}
	fs.VisitAll(func(f *flag.Flag) { fields[EnvVariable(f.Name)] = f.Name })

	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, EnvPrefix) || name == KeyVariable || name == FileVariable {
			continue
		}

		field, ok := fields[name]
		if !ok {
			cause := eris.New("sets no field")
			return &Error{Op: "load", Kind: KindSyntax, Source: "variable " + name, Err: cause}
		}
		if err := l.set(fs, field, value, "variable "+name); err != nil {
			return err
		}
	}
	return nil
}

func (l *loader) applyFlags(fs *flag.FlagSet, flags []Override) error {
	for _, f := range flags {
		if err := l.set(fs, f.Name, f.Value, "flag --"+f.Name); err != nil {
			return err
		}
	}
	return nil
}

// set sets a field from text and records its source.
func (l *loader) set(fs *flag.FlagSet, field, value, source string) error {
	l.sources[field] = source
	if err := fs.Set(field, value); err != nil {
		cause := eris.Errorf("%q: %v", value, err)
		return &Error{Op: "load", Kind: KindSyntax, Source: source, Err: cause}
	}
	return nil
}

// locate adds the source and position of the field to the error of a check.
func (l *loader) locate(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}

	e.Op = "load"
	if source, ok := l.sources[e.Field]; ok {
		e.Source = source
		return e
	}

	e.Source = l.path
	e.Line, e.Column = l.position(e.Field)
	return e
}

// position returns where the file sets a field, 0 and 0 if it doesn't.
func (l *loader) position(field string) (line, column int) {
	file, err := parser.ParseBytes(l.text, 0)
	if err != nil {
		return 0, 0
	}
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0, 0
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil {
		return 0, 0
	}

	p := node.GetToken().Position
	return p.Line, p.Column
}
