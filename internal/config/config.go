// Package config reads the configuration of a controller: the ROUTER_* variables and the JSON file that they name.
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

// Limits are the bounds of the machine that the controller runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// Bounds of Limits that the program can keep to.
const (
	maxCores    = 1024
	minMemoryMB = 16
	maxMemoryMB = 1 << 24
	minSockets  = 64
)

func (l Limits) usable() bool {
	return l.Cores > 0 && l.Cores < maxCores && l.MemoryMB >= minMemoryMB && l.MemoryMB < maxMemoryMB &&
		l.Sockets >= minSockets
}

// CachedEvents is what the discovery feed had sent when the file was written.
type CachedEvents struct {
	LastNumber uint64            `json:"n"`
	Events     []json.RawMessage `json:"events"`
}

// File is the configuration as read.
type File struct {
	Name         string
	Listen       string // host:port for clients
	Seed         uint64 // of the module's random source
	Limits       Limits
	Feed         string // host:port of the discovery feed
	CachedEvents CachedEvents
	Settings     choice.RawSettings // for the module, as they stand in the file
	UnknownNames []string           // names in the file that nothing reads: the platform may send such
}

// Errors of a file that lacks something.
var (
	ErrNoFile     = errors.New("ROUTER_CONFIG names no file")
	ErrNoListen   = errors.New("no address to listen on")
	ErrNoSettings = errors.New("no settings")
	ErrNoClasses  = errors.New("the settings name no usable classes")
)

// maxBytes bounds the file.
const maxBytes = 8 << 20

// Load reads the file that ROUTER_CONFIG names. ROUTER_NAME and ROUTER_LISTEN replace what it says.
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
	defer func() { _ = f.Close() }() // only read
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxBytes {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxBytes)
	}
	return text, nil
}

// rawFile is the file's JSON form.
type rawFile struct {
	Name         string             `json:"name"`
	Listen       string             `json:"listen"`
	Seed         string             `json:"seed"` // hex digits
	Limits       Limits             `json:"limits"`
	Feed         string             `json:"feed"`
	CachedEvents CachedEvents       `json:"known"`
	Settings     choice.RawSettings `json:"settings"`
}

// Parse reads the text of a file. It fails on what the controller cannot start with.
func Parse(text []byte) (File, error) {
	var raw rawFile
	if err := json.Unmarshal(text, &raw); err != nil {
		return File{}, withPosition(text, err)
	}
	if raw.Settings == nil {
		return File{}, ErrNoSettings
	}
	if classes, _ := raw.Settings["classes"].([]any); len(classes) == 0 || len(classes) > math.MaxUint8 {
		return File{}, ErrNoClasses
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return File{}, fmt.Errorf("seed %q is not of hex digits", raw.Seed)
	}
	if _, _, err := net.SplitHostPort(raw.Feed); err != nil {
		return File{}, fmt.Errorf("feed: %w", err)
	}
	if l := raw.Limits; !l.usable() {
		return File{}, fmt.Errorf("limits cores=%v memory_mb=%v sockets=%d cannot be kept to", l.Cores, l.MemoryMB, l.Sockets)
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

// withPosition adds the line and column of an error in the text.
func withPosition(text []byte, err error) error {
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
