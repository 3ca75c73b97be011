package config

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind classifies a Change.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents. Path names the value, such as
// "service quote.maxTasks". From and To are the values in the notation of the
// YAML files. For an added list item To holds all fields of the item and From is
// empty, for a removed one the reverse.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"`
	From string     `json:"from,omitempty"`
	To   string     `json:"to,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s (%s)", c.Path, c.To)
	case Removed:
		return fmt.Sprintf("- %s (%s)", c.Path, c.From)
	default:
		return fmt.Sprintf("  %s: %s → %s", c.Path, c.From, c.To)
	}
}

// Diff returns the changes between two documents, in the order of the document's
// fields and, in lists, by item name.
func Diff(from, to Document) []Change {
	changes := []Change{}
	a, b := reflect.ValueOf(from.sorted()), reflect.ValueOf(to.sorted())
	for i, name := range fieldNames(a.Type()) {
		if a.Field(i).Kind() == reflect.Slice {
			changes = append(changes, diffList(singular(name), a.Field(i), b.Field(i))...)
			continue
		}
		changes = append(changes, diffFields(name, a.Field(i), b.Field(i))...)
	}
	return changes
}

// singular returns the name for one item of a list: "service" for "services".
func singular(list string) string {
	if list == "access" {
		return "access key"
	}
	return strings.TrimSuffix(list, "s")
}

func diffList(kind string, from, to reflect.Value) []Change {
	var changes []Change
	for i := range from.Len() {
		item := from.Index(i)
		path := kind + " " + nameOf(item)
		other, ok := findItem(to, nameOf(item))
		if !ok {
			changes = append(changes, Change{Kind: Removed, Path: path, From: summary(item)})
			continue
		}
		changes = append(changes, diffFields(path, item, other)...)
	}
	for i := range to.Len() {
		item := to.Index(i)
		if _, ok := findItem(from, nameOf(item)); !ok {
			changes = append(changes, Change{Kind: Added, Path: kind + " " + nameOf(item), To: summary(item)})
		}
	}
	return changes
}

func findItem(list reflect.Value, name string) (reflect.Value, bool) {
	for i := range list.Len() {
		if nameOf(list.Index(i)) == name {
			return list.Index(i), true
		}
	}
	return reflect.Value{}, false
}

// diffFields compares two structs of the same type without lists.
func diffFields(path string, from, to reflect.Value) []Change {
	var changes []Change
	before, after := leaves(from, path, ""), leaves(to, path, "")
	for i := range before {
		if before[i].value != after[i].value {
			changes = append(changes, Change{
				Kind: Changed,
				Path: before[i].path,
				From: fmt.Sprint(before[i].value),
				To:   fmt.Sprint(after[i].value),
			})
		}
	}
	return changes
}

func summary(item reflect.Value) string {
	var parts []string
	for _, l := range leaves(item, "", "") {
		parts = append(parts, fmt.Sprintf("%s %v", l.path, l.value))
	}
	return strings.Join(parts, ", ")
}
