// Package config reads the configuration of a controller: the ROUTER_* environment variables and the JSON file that
// ROUTER_CONFIG names.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"

	"swiftreel/choice"
)

// Limits are the resource limits of the machine that the controller runs on.
type Limits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"sockets"` // file descriptors, including those that are not sockets
}

// Range of Limits that the controller supports.
const (
	maxCores       = 1024
	minMemoryMB    = 16
	maxMemoryMB    = 1 << 24
	minDescriptors = 64
)

func (l Limits) isSupported() bool {
	return l.Cores > 0 && l.Cores < maxCores && l.MemoryMB >= minMemoryMB && l.MemoryMB < maxMemoryMB &&
		l.Descriptors >= minDescriptors
}

// CachedEvents holds what the discovery feed had sent when the file was written.
type CachedEvents struct {
	LastNumber uint64            `json:"n"`
	Events     []json.RawMessage `json:"events"`
}

// File is the parsed configuration.
type File struct {
	Name         string
	Listen       string // host:port for clients
	Seed         uint64 // of the decision module's random source
	Limits       Limits
	Feed         string // host:port of the discovery feed
	CachedEvents CachedEvents
	Settings     choice.RawSettings // for the decision module, unchanged from the file
	UnknownNames []string           // keys that nothing reads, which the platform may send
}

// Errors of an incomplete configuration.
var (
	ErrNoFile     = errors.New("ROUTER_CONFIG is not set")
	ErrNoListen   = errors.New("listen address is missing")
	ErrNoSettings = errors.New("settings are missing")
	ErrNoClasses  = errors.New("settings.classes is missing, empty or too long")
)

// maxBytes is the maximum size of the file.
const maxBytes = 8 << 20

// Load reads the file that ROUTER_CONFIG names. ROUTER_NAME and ROUTER_LISTEN override its values.
func Load(getenv func(string) string) (File, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return File{}, ErrNoFile
	}
	text, err := readFile(path)
	if err != nil {
		return File{}, err
	}
	f, err := Parse(text)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	if name := getenv("ROUTER_NAME"); name != "" {
		f.Name = name
	}
	if listen := getenv("ROUTER_LISTEN"); listen != "" {
		f.Listen = listen
	}
	if f.Listen == "" {
		return File{}, ErrNoListen
	}
	return f, nil
}

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxBytes)
	}
	return text, nil
}

// rawFile is the JSON structure of the file.
type rawFile struct {
	Name         string             `json:"name"`
	Listen       string             `json:"listen"`
	Seed         string             `json:"seed"` // hexadecimal
	Limits       Limits             `json:"limits"`
	Feed         string             `json:"feed"`
	CachedEvents CachedEvents       `json:"known"`
	Settings     choice.RawSettings `json:"settings"`
}

// Parse parses the text of a configuration file. It fails if the controller cannot start with the file.
func Parse(text []byte) (File, error) {
	var raw rawFile
	if err := json.Unmarshal(text, &raw); err != nil {
		return File{}, addPosition(text, err)
	}
	if raw.Settings == nil {
		return File{}, ErrNoSettings
	}
	if classes, _ := raw.Settings["classes"].([]any); len(classes) == 0 || len(classes) > math.MaxUint8 {
		return File{}, ErrNoClasses
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return File{}, fmt.Errorf("seed %q is not a hexadecimal number of at most 64 bits", raw.Seed)
	}
	if _, _, err := net.SplitHostPort(raw.Feed); err != nil {
		return File{}, fmt.Errorf("feed: %w", err)
	}
	if l := raw.Limits; !l.isSupported() {
		return File{}, fmt.Errorf("limits cores=%v memory_mb=%v sockets=%d are out of range",
			l.Cores, l.MemoryMB, l.Descriptors)
	}
	return File{
		Name:         raw.Name,
		Listen:       raw.Listen,
		Seed:         seed,
		Limits:       raw.Limits,
		Feed:         raw.Feed,
		CachedEvents: raw.CachedEvents,
		Settings:     raw.Settings,
		UnknownNames: unknownNames(text),
	}, nil
}

// addPosition prepends the line and column in the text to a JSON error.
func addPosition(text []byte, err error) error {
	offset := int64(len(text))
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	}
	before := text[:max(0, min(offset, int64(len(text))))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, max(1, column-1), err)
}
