package config

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// merger decodes files over one document. Structs are merged field by field,
// lists item by item, matched by name. positions holds, by path, the place that
// last set each value.
type merger struct {
	file      string
	positions map[string]Position
	problems  Problems
}

func (m *merger) addProblem(at Position, path, rule string) {
	m.problems = append(m.problems, Problem{Position: at, Path: path, Rule: rule})
}

func position(file string, t *token.Token) Position {
	if t == nil || t.Position == nil {
		return Position{File: file, Line: 1, Column: 1}
	}
	return Position{File: file, Line: t.Position.Line, Column: t.Position.Column}
}

// startOf returns the position of the first character of a node. The token of
// a mapping is its first colon, so the position of the first key is used.
func (m *merger) startOf(node ast.Node) Position {
	if mapping, ok := node.(ast.MapNode); ok {
		if iter := mapping.MapRange(); iter.Next() {
			return m.startOf(iter.Key())
		}
	}
	return position(m.file, node.GetToken())
}

// mapping decodes a YAML mapping into the struct v.
func (m *merger) mapping(node ast.Node, v reflect.Value, path string) {
	fields, ok := node.(ast.MapNode)
	if !ok {
		m.addProblem(m.startOf(node), path, "must be a mapping, found "+describe(node))
		return
	}

	for iter := fields.MapRange(); iter.Next(); {
		m.field(iter.Key(), iter.Value(), v, path)
	}
}

func (m *merger) field(key ast.MapKeyNode, node ast.Node, v reflect.Value, path string) {
	name := key.GetToken().Value
	child := joinPath(path, name)
	target, ok := fieldNamed(v, name)
	if !ok {
		m.addProblem(m.startOf(key), child, "unknown field; known here: "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}

	if node.Type() == ast.NullType {
		m.addProblem(m.startOf(key), child, "must have a value")
		return
	}

	switch target.Kind() {
	case reflect.Struct:
		m.positions[child] = m.startOf(key)
		m.mapping(node, target, child)
	case reflect.Slice:
		m.positions[child] = m.startOf(key)
		m.list(node, target, child)
	default:
		m.positions[child] = m.startOf(node)
		m.leaf(node, target, child)
	}
}

// list decodes a YAML list into the slice v: an item whose name v holds already
// is merged into that one, others are appended.
func (m *merger) list(node ast.Node, v reflect.Value, path string) {
	items, ok := node.(*ast.SequenceNode)
	if !ok {
		m.addProblem(m.startOf(node), path, "must be a list, found "+describe(node))
		return
	}

	seen := map[string]Position{}
	for _, item := range items.Values {
		name, at, ok := m.itemName(item, path)
		if !ok {
			continue
		}
		child := itemPath(path, name)
		if _, twice := seen[name]; twice {
			m.addProblem(at, child, "the name must stand once in a file")
			continue
		}

		seen[name] = at
		m.positions[child] = at
		m.mapping(item, itemNamed(v, name), child)
	}
}

// itemName returns the name of a list item and its position. If the item has no
// valid name, it records the problem and returns false.
func (m *merger) itemName(item ast.Node, path string) (string, Position, bool) {
	fields, ok := item.(ast.MapNode)
	if !ok {
		m.addProblem(m.startOf(item), path, "an item must be a mapping, found "+describe(item))
		return "", Position{}, false
	}

	for iter := fields.MapRange(); iter.Next(); {
		if iter.Key().GetToken().Value != "name" {
			continue
		}
		value, ok := iter.Value().(*ast.StringNode)
		if !ok {
			m.addProblem(m.startOf(iter.Value()), joinPath(path, "name"), "must be a string, found "+describe(iter.Value()))
			return "", Position{}, false
		}
		return value.Value, m.startOf(value), true
	}
	m.addProblem(m.startOf(item), path, "an item must have a name")
	return "", Position{}, false
}

// itemNamed returns the item of that name; if there is none, it appends one with
// default values.
func itemNamed(v reflect.Value, name string) reflect.Value {
	if item, ok := findItem(v, name); ok {
		return item
	}

	item := reflect.New(v.Type().Elem()).Elem()
	switch item.Interface().(type) {
	case Service:
		item.Set(reflect.ValueOf(Service{}.WithDefaults()))
	case Team:
		item.Set(reflect.ValueOf(Team{Weight: defaultWeight}))
	}
	v.Set(reflect.Append(v, item))
	return v.Index(v.Len() - 1)
}

// leaf decodes a scalar. The type of the node is checked first, because the
// decoder would convert between numbers and strings without an error.
func (m *merger) leaf(node ast.Node, v reflect.Value, path string) {
	want, types := scalarTypes(v)
	if !slices.Contains(types, node.Type()) {
		m.addProblem(m.startOf(node), path, "must be "+want+", found "+describe(node))
		return
	}
	if err := yaml.NodeToValue(node, v.Addr().Interface()); err != nil {
		m.addProblem(m.startOf(node), path, "must be "+want+", found "+describe(node))
	}
}

// scalarTypes returns the description of a value that v can hold, for messages,
// and the node types accepted for it.
func scalarTypes(v reflect.Value) (string, []ast.NodeType) {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		return "a duration such as 250ms", []ast.NodeType{ast.StringType}
	}
	switch v.Kind() {
	case reflect.Bool:
		return "true or false", []ast.NodeType{ast.BoolType}
	case reflect.Int:
		return "a whole number", []ast.NodeType{ast.IntegerType}
	case reflect.Float64:
		return "a number", []ast.NodeType{ast.IntegerType, ast.FloatType}
	default:
		return "a string", []ast.NodeType{ast.StringType, ast.LiteralType}
	}
}

// describe returns a node's type or value for messages.
func describe(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "nothing"
	case ast.StringType, ast.LiteralType:
		return "the string " + node.GetToken().Value
	default:
		return node.GetToken().Value
	}
}
