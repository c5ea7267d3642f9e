// Package config reads what a controller is told at its start: the ROUTER_* variables and the JSON file.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
)

// Limits are the bounds of the machine that the controller runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// CachedEvents is what the control feed had told when the file was written.
type CachedEvents struct {
	LastNumber uint64            `json:"n"`
	Events     []json.RawMessage `json:"events"`
}

// File is the configuration as read.
type File struct {
	Name         string
	Listen       string
	Seed         uint64
	Limits       Limits
	Feed         string
	CachedEvents CachedEvents
	Settings     map[string]any // the settings, handed to the module as they are
	UnknownNames []string       // names in the file that nothing reads; the platform may send such
}

// Load reads the file that ROUTER_CONFIG names; ROUTER_NAME and ROUTER_LISTEN stand above what it says.
func Load(getenv func(string) string) (File, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return File{}, errors.New("ROUTER_CONFIG names no file")
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
		return File{}, errors.New("no address to listen on")
	}
	return f, nil
}

// mostBytes bounds the file.
const mostBytes = 8 << 20

func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err == nil && len(text) > mostBytes {
		err = fmt.Errorf("%s: over %d bytes", path, mostBytes)
	}
	return text, err
}

// Parse reads the JSON text.
func Parse(text []byte) (File, error) {
	var raw struct {
		Name     string         `json:"name"`
		Listen   string         `json:"listen"`
		Seed     string         `json:"seed"`
		Limits   Limits         `json:"limits"`
		Feed     string         `json:"feed"`
		Known    CachedEvents   `json:"known"`
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return File{}, placed(text, err)
	}
	if raw.Settings == nil {
		return File{}, errors.New("no settings")
	}
	if list, _ := raw.Settings["classes"].([]any); len(list) == 0 || len(list) > math.MaxUint8 {
		return File{}, errors.New("the settings name no usable classes")
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return File{}, fmt.Errorf("seed %q is not of hex digits", raw.Seed)
	}
	if _, _, err := net.SplitHostPort(raw.Feed); err != nil {
		return File{}, fmt.Errorf("feed: %w", err)
	}
	l := raw.Limits
	if !(l.Cores > 0 && l.Cores < 1024 && l.MemoryMB >= 16 && l.MemoryMB < 1<<24 && l.Sockets >= 64) {
		return File{}, fmt.Errorf("limits cores=%v memory_mb=%v sockets=%d cannot be kept to", l.Cores, l.MemoryMB, l.Sockets)
	}
	return File{Name: raw.Name, Listen: raw.Listen, Seed: seed, Limits: l, Feed: raw.Feed,
		CachedEvents: raw.Known, Settings: raw.Settings, UnknownNames: unread(text)}, nil
}

// placed names the line and column of what is no JSON, or of another type than is read there.
func placed(text []byte, err error) error {
	var form *json.SyntaxError
	var kind *json.UnmarshalTypeError
	at := int64(len(text))
	if errors.As(err, &form) {
		at = form.Offset
	} else if errors.As(err, &kind) {
		at = kind.Offset
	}
	before := text[:max(0, min(at, int64(len(text))))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, max(1, column-1), err)
}

// read are the names that the file and its parts may have; below settings all is the module's.
var read = map[string][]string{"": {"name", "listen", "seed", "limits", "feed", "known", "settings"},
	"limits": {"cores", "memory_mb", "sockets"}, "known": {"n", "events"}}

// unread are the others, in order.
func unread(text []byte) (list []string) {
	var file map[string]json.RawMessage
	json.Unmarshal(text, &file) // read well before
	for _, part := range slices.Sorted(maps.Keys(read)) {
		names, under := file, ""
		if part != "" {
			names, under = nil, part+"."
			json.Unmarshal(file[part], &names)
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if !slices.Contains(read[part], name) {
				list = append(list, under+name)
			}
		}
	}
	return list
}
