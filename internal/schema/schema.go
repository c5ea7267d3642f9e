// Package schema reads JSON files that operators write. It limits their size, validates them against the JSON schema of
// their kind (deploy/KIND.schema.json) and reports problems with their paths in the file.
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

// MaxBytes is the maximum size of a file.
const MaxBytes = 32 << 20

// maxProblems is the number of problems reported for a file.
const maxProblems = 50

// ValidationError lists the problems in the content of a file.
type ValidationError struct {
	File     string
	Problems []string // each starts with its path in the file
}

// Error returns the file name and all problems.
func (e *ValidationError) Error() string {
	return e.File + ": " + strings.Join(e.Problems, "; ")
}

// Kind identifies the schema of a file.
type Kind string

// Kinds of files that have a schema.
const (
	Problem  Kind = "problem"
	Plan     Kind = "plan"
	Operator Kind = "operator"
	Change   Kind = "change"
)

// Read decodes a file into a value if the file is valid under the schema of its kind. The error is a *ValidationError
// if the content is invalid.
func Read(path string, kind Kind, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxBytes {
		return &ValidationError{File: path, Problems: []string{fmt.Sprintf("/: over %d bytes", MaxBytes)}}
	}
	return Parse(path, text, kind, into)
}

// Parse is like Read for the text of a file; the path is used in errors only.
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
	if err := json.Unmarshal(text, into); err != nil { // the schema already rejects unknown keys
		return &ValidationError{File: path, Problems: []string{"/: " + err.Error()}}
	}
	return nil
}

// compile compiles the embedded schema of a kind.
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

// problems returns the innermost errors of a validation, sorted by path, at most maxProblems of them.
func problems(invalid *jsonschema.ValidationError) []string {
	list := innermostErrors(invalid, message.NewPrinter(language.English))
	slices.Sort(list)
	if len(list) > maxProblems {
		list = append(list[:maxProblems], fmt.Sprintf("and %d more", len(list)-maxProblems))
	}
	return list
}

func innermostErrors(invalid *jsonschema.ValidationError, printer *message.Printer) []string {
	if len(invalid.Causes) == 0 {
		path := "/" + strings.Join(invalid.InstanceLocation, "/")
		return []string{path + ": " + invalid.ErrorKind.LocalizedString(printer)}
	}
	var list []string
	for _, cause := range invalid.Causes {
		list = append(list, innermostErrors(cause, printer)...)
	}
	return list
}
