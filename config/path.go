package config

import (
	"reflect"
	"strings"
)

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func itemPath(path, name string) string {
	return path + "[" + name + "]"
}

func parentPath(path string) string {
	if end := strings.LastIndexByte(path, ']'); end == len(path)-1 && end >= 0 {
		return path[:strings.IndexByte(path, '[')]
	}
	end := strings.LastIndexByte(path, '.')
	return path[:max(end, 0)]
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("yaml"))
	}
	return names
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// leaf is a scalar of a document. Pattern is its path without the names of
// list items.
type leaf struct {
	path    string
	pattern string
	value   any
}

// leaves returns the scalars of a struct in the order of its fields.
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
