package coordinator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftreel/internal/operator"
)

func TestBackoffPollsAFailingSupervisorLessOften(t *testing.T) {
	var b backoff
	r := rand.New(rand.NewPCG(1, 1))
	asked := []int64{}
	for now := int64(0); now < 60e9; now += 10e6 {
		if b.isDue(now) {
			asked = append(asked, now)
			b.failed(now, r)
		}
	}
	if len(asked) < 25 || len(asked) > 45 { // without backoff it would be polled 6000 times
		t.Errorf("polled %d times in a minute", len(asked))
	}
	if b.succeeded(); !b.isDue(0) {
		t.Error("it is not due after a success")
	}
}

// A hundred members that accept connections but never reply must not delay the replies of the others.
func TestSilentMembersDoNotDelayOthers(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var dials atomic.Int64
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			defer c.Close()
		}
	}()
	well := httptest.NewServer(
		http.HandlerFunc(
			func(w http.ResponseWriter, r *http.Request) { w.Write([]byte(`{"format":2,"name":"good"}`)) },
		),
	)
	defer well.Close()
	members := []operator.Member{}
	for range 100 {
		members = append(members, operator.Member{Name: "silent", Listen: silent.Addr().String()})
	}
	members = append(members, operator.Member{Name: "good", Listen: strings.TrimPrefix(well.URL, "http://")})
	f := NewFleetClient(members, 300*time.Millisecond, 30*time.Millisecond)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	for len(f.Poll(ctx)) > 0 { // until all silent members have failed once
		f.mu.Lock()
		all := !slices.ContainsFunc(f.peers[:100], func(p peer) bool { return p.backoff.failures == 0 })
		f.mu.Unlock()
		if all {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for range 20 { // the good member replies while exchanges with the others are in progress
		heard := false
		for stop := time.Now().Add(10 * time.Second); !heard && time.Now().Before(stop); time.Sleep(time.Millisecond) {
			heard = f.Poll(ctx)[100].Err == nil
		}
		if !heard {
			t.Fatal("the good member's reply is not received")
		}
		if len(f.suspectExchanges) > maxSuspectExchanges || len(f.exchanges) > maxSuspectExchanges+1 {
			t.Errorf("%d concurrent exchanges with silent members, %d in all", len(f.suspectExchanges), len(f.exchanges))
		}
	}
	if n := dials.Load(); n < 100 || n > 400 {
		t.Errorf("%d connections to silent members", n)
	}
}
