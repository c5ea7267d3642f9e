// Command adapter hosts instances of the decision module behind the simulator's wire: batches of events on standard
// input, replies of actions on standard output. It decides nothing. One goroutine does all; it ends with its input.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"swiftreel/choice"
	"swiftreel/internal/wire"
)

const readBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends between two of them, which is no error.
func serve(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	writer := bufio.NewWriter(out)
	h := newHost()
	for {
		batch, err := wire.ReadBatch(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		if err := h.answer(batch, writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host owns the instances and the lists of engines that were handed over for them.
type host struct {
	instances map[wire.Instance]*choice.Controller // until stopped
	lists     map[wire.SetID][]choice.EngineEntry  // numbers are reused, so it stays small
	reply     wire.Reply
}

func newHost() *host {
	return &host{
		instances: map[wire.Instance]*choice.Controller{},
		lists:     map[wire.SetID][]choice.EngineEntry{},
	}
}

// answer hands the records of a batch to whom they concern and writes the actions.
func (h *host) answer(batch wire.Batch, out io.Writer) error {
	for _, record := range batch.Records {
		if err := h.take(batch.Now, record); err != nil {
			return err
		}
	}
	if _, err := h.reply.WriteTo(out); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (h *host) take(now choice.Nanos, record wire.Record) error {
	switch record.Kind {
	case wire.RegisterEngines:
		h.lists[record.Set] = record.Engines
		return nil
	case wire.StopInstance:
		delete(h.instances, record.Instance)
		return nil
	case wire.StartInstance:
		settings, err := readSettings(record.Settings)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", record.Instance, err)
		}
		record.Event.Settings = choice.ParseSettings(settings)
		h.instances[record.Instance] = new(choice.Controller)
	}
	h.decide(now, record)
	return nil
}

// decide tells an event to its instance, if that runs, and gathers the actions.
func (h *host) decide(now choice.Nanos, record wire.Record) {
	if record.Event.Kind == choice.EnginesListed {
		record.Event.Engines = h.lists[record.Set]
	}
	controller := h.instances[record.Instance]
	if controller == nil {
		return
	}
	for _, action := range controller.Decide(now, record.Event) {
		h.reply.Add(record.Instance, action)
	}
}

func readSettings(text []byte) (choice.RawSettings, error) {
	var settings choice.RawSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, err
	}
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	return settings, nil
}
