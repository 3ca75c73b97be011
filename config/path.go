package config

import (
	"reflect"
	"strings"
)

// A path names a value of a document, as in services[quote].maxTasks.

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func itemPath(path, name string) string {
	return path + "[" + name + "]"
}

// parentPath returns the path of the enclosing list or struct, "" at the top.
func parentPath(path string) string {
	if end := strings.LastIndexByte(path, ']'); end == len(path)-1 && end >= 0 {
		return path[:strings.IndexByte(path, '[')]
	}
	end := strings.LastIndexByte(path, '.')
	return path[:max(end, 0)]
}

// fieldNames returns the YAML names of a struct's fields in order.
func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

// fieldNamed returns the field of the struct v with that YAML name.
func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// leaf is a scalar value of a document. pattern is its path without the names
// of list items, as in services[].maxTasks.
type leaf struct {
	path    string
	pattern string
	value   any
}

// leaves returns all scalars within a struct in the order of its fields. path
// and pattern are those of the struct itself.
func leaves(v reflect.Value, path, pattern string) []leaf {
	var all []leaf
	for i, name := range fieldNames(v.Type()) {
		field := v.Field(i)
		childPath, childPattern := joinPath(path, name), joinPath(pattern, name)
		switch field.Kind() {
		case reflect.Struct:
			all = append(all, leaves(field, childPath, childPattern)...)
		case reflect.Slice:
			for k := range field.Len() {
				item := field.Index(k)
				all = append(all, leaves(item, itemPath(childPath, nameOf(item)), itemPath(childPattern, ""))...)
			}
		default:
			all = append(all, leaf{path: childPath, pattern: childPattern, value: field.Interface()})
		}
	}
	return all
}

func nameOf(item reflect.Value) string {
	return item.FieldByName("Name").String()
}
