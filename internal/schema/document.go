// Package schema reads JSON files that operators write: bounded, held against their schema, every fault with its path.
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

// mostFaults is how many are named.
const mostFaults = 50

// ValidationError is all that is wrong with a file.
type ValidationError struct {
	File     string
	Problems []string // each with its path in the file
}

func (f *ValidationError) Error() string {
	return f.File + ": " + strings.Join(f.Problems, "; ")
}

// Kind is a sort of file; its schema is deploy/KIND.schema.json.
type Kind string

// The kinds.
const (
	Problem  Kind = "problem"
	Plan     Kind = "plan"
	Operator Kind = "operator"
	Change   Kind = "change"
)

// Read reads a file into a value, once it fits its schema. The error is a *Faults, or tells why it cannot be read.
func Read(path string, kind Kind, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MaxBytes {
		return &ValidationError{path, []string{fmt.Sprintf("/: over %d bytes", MaxBytes)}}
	}
	return Parse(path, text, kind, into)
}

// Parse does the same with a text; path is named in errors.
func Parse(path string, text []byte, kind Kind, into any) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &ValidationError{path, []string{"/: is no JSON: " + err.Error()}}
	}
	schema, err := compile(kind)
	if err != nil {
		return err
	}
	if err := schema.Validate(value); err != nil {
		var invalid *jsonschema.ValidationError
		if !errors.As(err, &invalid) {
			return err
		}
		return &ValidationError{path, faults(invalid)}
	}
	if err := json.Unmarshal(text, into); err != nil { // the schema has refused unknown fields
		return &ValidationError{path, []string{"/: " + err.Error()}}
	}
	return nil
}

func compile(kind Kind) (*jsonschema.Schema, error) {
	name := string(kind) + ".schema.json"
	text, err := deploy.Schemas.ReadFile(name)
	if err != nil {
		return nil, err
	}
	schema, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, schema); err != nil {
		return nil, err
	}
	return c.Compile(name)
}

// faults are the leaves of what the schema says, in order of their paths.
func faults(e *jsonschema.ValidationError) (list []string) {
	say := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			list = append(list, "/"+strings.Join(e.InstanceLocation, "/")+": "+e.ErrorKind.LocalizedString(say))
		}
		for _, c := range e.Causes {
			walk(c)
		}
	}
	walk(e)
	slices.Sort(list)
	if len(list) > mostFaults {
		list = append(list[:mostFaults], fmt.Sprintf("and %d more", len(list)-mostFaults))
	}
	return list
}
