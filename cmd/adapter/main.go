// Command adapter hosts instances of the decision module behind the simulator's wire: batches on
// standard input, replies on standard output. It decides nothing.
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

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	host := host{instances: map[wire.Instance]*choice.Controller{}, sets: map[wire.SetID][]choice.EngineEntry{}}
	for {
		batch, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, rec := range batch.Records {
			if err := host.tell(batch.Now, rec); err != nil {
				return err
			}
		}
		if _, err := host.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type host struct {
	instances map[wire.Instance]*choice.Controller // one for each live instance; Stop removes it
	sets      map[wire.SetID][]choice.EngineEntry  // numbers are reused, so it stays small
	reply     wire.Reply
}

// tell hands one record to whom it concerns and gathers the actions.
func (h *host) tell(now choice.Nanos, rec wire.Record) error {
	switch rec.Kind {
	case wire.RegisterEngines:
		h.sets[rec.Set] = rec.Engines
		return nil
	case wire.StopInstance:
		delete(h.instances, rec.Instance)
		return nil
	case wire.StartInstance:
		if err := json.Unmarshal(rec.Settings, &rec.Event.Settings); err != nil {
			return fmt.Errorf("settings of instance %d: %w", rec.Instance, err)
		}
		if err := checkSettings(rec.Event.Settings); err != nil {
			return fmt.Errorf("settings of instance %d: %w", rec.Instance, err)
		}
		h.instances[rec.Instance] = new(choice.Controller)
	}
	if rec.Event.Kind == choice.EnginesListed {
		rec.Event.Engines = h.sets[rec.Set]
	}
	if c := h.instances[rec.Instance]; c != nil {
		for _, a := range c.Decide(now, rec.Event) {
			h.reply.Add(rec.Instance, a)
		}
	}
	return nil
}
