package config

import (
	"fmt"
	"strings"
)

// Position is a place in a file. Line and Column start at 1; both are 0 if no
// file sets the value.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Problem is a rule that a configuration breaks. Rule describes it; Path names
// the value, such as services[quote].maxTasks.
type Problem struct {
	Position
	Path string `json:"path,omitempty"`
	Rule string `json:"rule"`
}

// String returns the problem as file:line:column: path: rule.
func (p Problem) String() string {
	parts := make([]string, 0, 3)
	if p.File != "" {
		parts = append(parts, fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column))
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	return strings.Join(append(parts, p.Rule), ": ")
}

// Problems lists all rules that a configuration breaks.
type Problems []Problem

// Error returns all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
