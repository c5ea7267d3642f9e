package draw_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"testing"

	"swiftreel/internal/solve"
	"swiftreel/internal/solve/draw"
)

// Tests and proofs identify problems by their seeds, so the problem of a seed must never change.
func TestASeedDrawsTheSameProblem(t *testing.T) {
	for name, test := range map[string]struct {
		draw func(seed uint64) *solve.Problem
		want string
	}{
		"small": {
			draw: func(seed uint64) *solve.Problem { return draw.Small(rand.New(rand.NewPCG(2026, seed))) },
			want: "51ffc2140e8e1ad554a6dd96a81b0620d7eb1a7043f4b051bf506f15830746ab",
		},
		"ordinary": {
			draw: func(seed uint64) *solve.Problem { return draw.Ordinary(seed, 10+int(seed), 3, 6, 12, 1.1) },
			want: "832d3cfe0f88d907d4be388c89d690232eec54b03ace6c544341a2f62b95936a",
		},
		"ordinary of one zone": {
			draw: func(seed uint64) *solve.Problem { return draw.Ordinary(seed, 4, 1, 1, 1, 0.6) },
			want: "a35dcce62b6c66ca648f9256b8962d217ca670a18fe2f633683364d972cd0ab6",
		},
	} {
		t.Run(name, func(t *testing.T) {
			digest := sha256.New()
			problems := json.NewEncoder(digest)
			for seed := range uint64(300) {
				if err := problems.Encode(test.draw(seed)); err != nil {
					t.Fatal(err)
				}
			}
			if got := hex.EncodeToString(digest.Sum(nil)); got != test.want {
				t.Errorf("digest of 300 problems: %s, want %s", got, test.want)
			}
		})
	}
}
