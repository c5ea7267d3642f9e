// Package schema reads JSON files that operators write: bounded in size, checked against the JSON schema of their kind
// (deploy/KIND.schema.json), and with every problem reported by its path in the file.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"swiftreel/deploy"
)

// MaxBytes bounds a file.
const MaxBytes = 32 << 20

// maxProblems is how many problems of a file are reported.
const maxProblems = 50

// ValidationError is all that is wrong with the content of a file.
type ValidationError struct {
	File     string
	Problems []string // each with its path in the file
}

// Error returns the file and all problems.
func (e *ValidationError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "; ")
}

// Kind is a kind of file that has a schema.
type Kind string

// The kinds.
const (
	Problem  Kind = "problem"
	Plan     Kind = "plan"
	Operator Kind = "operator"
	Change   Kind = "change"
)

// Read reads a file into a value if it fits the schema of its kind. The error is a *ValidationError, or says why the
// file cannot be read.
func Read(path string, kind Kind, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // only read
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxBytes {
		return &ValidationError{File: path, Problems: []string{fmt.Sprintf("/: over %d bytes", MaxBytes)}}
	}
	return Parse(path, text, kind, into)
}

// Parse does what Read does with a text; the path is for errors only.
func Parse(path string, text []byte, kind Kind, into any) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &ValidationError{File: path, Problems: []string{"/: is no JSON: " + err.Error()}}
	}
	compiled, err := compile(kind)
	if err != nil {
		return err
	}
	if err := compiled.Validate(value); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return err
		}
		return &ValidationError{File: path, Problems: problems(invalid)}
	}
	if err := json.Unmarshal(text, into); err != nil { // the schema has refused unknown names
		return &ValidationError{File: path, Problems: []string{"/: " + err.Error()}}
	}
	return nil
}

// compile makes the schema of a kind, which is part of the program.
func compile(kind Kind) (*jsonschema.Schema, error) {
	name := string(kind) + ".schema.json"
	text, err := deploy.Schemas.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("schema of %s: %w", kind, err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("schema of %s: %w", kind, err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, fmt.Errorf("schema of %s: %w", kind, err)
	}
	return compiler.Compile(name)
}

// problems returns the innermost errors of a validation, sorted by their paths.
func problems(invalid *jsonschema.ValidationError) []string {
	list := innermost(invalid, message.NewPrinter(language.English))
	slices.Sort(list)
	if len(list) > maxProblems {
		list = append(list[:maxProblems], fmt.Sprintf("and %d more", len(list)-maxProblems))
	}
	return list
}

func innermost(invalid *jsonschema.ValidationError, printer *message.Printer) []string {
	if len(invalid.Causes) == 0 {
		path := "/" + strings.Join(invalid.InstanceLocation, "/")
		return []string{path + ": " + invalid.ErrorKind.LocalizedString(printer)}
	}
	var list []string
	for _, cause := range invalid.Causes {
		list = append(list, innermost(cause, printer)...)
	}
	return list
}
