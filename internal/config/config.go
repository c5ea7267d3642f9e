// Package config reads what a controller is told at its start: the ROUTER_* variables and the JSON file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
)

// Limits are the bounds of the machine that the controller runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Known is what the control feed had told when the file was written.
type Known struct {
	N      uint64            `json:"n"`
	Events []json.RawMessage `json:"events"`
}

// File is the configuration as read.
type File struct {
	Name   string
	Listen string
	Seed   uint64
	Limits Limits
	Feed   string
	Known  Known
	Facts  map[string]any // the settings, handed to the module as they are
}

// Load reads the file that ROUTER_CONFIG names; ROUTER_NAME and ROUTER_LISTEN stand above what it says.
func Load(getenv func(string) string) (File, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return File{}, errors.New("ROUTER_CONFIG names no file")
	}
	text, err := read(path)
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

func read(path string) ([]byte, error) {
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
		Known    Known          `json:"known"`
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return File{}, err
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
		Known: raw.Known, Facts: raw.Settings}, nil
}
