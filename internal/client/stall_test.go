package client

import (
	"testing"
	"time"
)

func TestMessagesReadAfterAStallCountFromItsStart(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	p := newStallDetector(at(0))
	for ms := 10; ms <= 100; ms += 10 {
		p.tick(at(ms))
	}
	for _, c := range []struct{ beat, read, sent int }{
		{0, 105, 105},      // as usual
		{0, 2000, 100},     // stood still from 100 on, and the reader comes first
		{2001, 2002, 100},  // or the pulse
		{2011, 2015, 100},  // not all is read at once
		{2021, 2022, 2022}, // later it is as usual again
	} {
		if c.beat > 0 {
			p.tick(at(c.beat))
		}
		if got := p.earliestSendTime(at(c.read)); got != at(c.sent) {
			t.Errorf("read at %d ms: sent at %v, want %d ms", c.read, got.Sub(at(0)), c.sent)
		}
	}
}
