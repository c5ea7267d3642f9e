// Command adapter connects instances of package choice to the simulator: it reads batches of events from standard
// input and writes replies of actions to standard output. It makes no decisions, uses one goroutine, and exits at the
// end of its input.
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

// serve answers batches until the input ends. An end between two batches is no error.
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
		if err := h.answerBatch(batch, writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// host owns the running instances and the engine lists that were registered for them.
type host struct {
	instances map[wire.InstanceID]*choice.Controller     // until stopped
	lists     map[wire.EngineListID][]choice.EngineEntry // IDs are reused, so it stays small
	reply     wire.Reply
}

func newHost() *host {
	return &host{
		instances: map[wire.InstanceID]*choice.Controller{},
		lists:     map[wire.EngineListID][]choice.EngineEntry{},
	}
}

// answerBatch processes the records of a batch and writes the reply.
func (h *host) answerBatch(batch wire.Batch, out io.Writer) error {
	for _, record := range batch.Records {
		if err := h.process(batch.Now, record); err != nil {
			return err
		}
	}
	if _, err := h.reply.WriteTo(out); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (h *host) process(now choice.Nanos, record wire.Record) error {
	switch record.Kind {
	case wire.RegisterEngines:
		h.lists[record.List] = record.Engines
		return nil
	case wire.StopInstance:
		delete(h.instances, record.Instance)
		return nil
	case wire.StartInstance:
		settings, err := parseSettings(record.Settings)
		if err != nil {
			return fmt.Errorf("settings of instance %d: %w", record.Instance, err)
		}
		record.Event.Settings = choice.ParseSettings(settings)
		h.instances[record.Instance] = new(choice.Controller)
	}
	h.decide(now, record)
	return nil
}

// decide passes an event to its instance, if that is running, and adds the actions to the reply.
func (h *host) decide(now choice.Nanos, record wire.Record) {
	if record.Event.Kind == choice.EnginesListed {
		record.Event.Engines = h.lists[record.List]
	}
	controller := h.instances[record.Instance]
	if controller == nil {
		return
	}
	for _, action := range controller.Decide(now, record.Event) {
		h.reply.Add(record.Instance, action)
	}
}

func parseSettings(text []byte) (choice.RawSettings, error) {
	var settings choice.RawSettings
	if err := json.Unmarshal(text, &settings); err != nil {
		return nil, err
	}
	if err := checkSettings(settings); err != nil {
		return nil, err
	}
	return settings, nil
}
