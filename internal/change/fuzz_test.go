package change

import (
	"bytes"
	"encoding/json"
	"testing"
)

func FuzzOrders(f *testing.F) {
	f.Add(
		[]byte(
			`{"format":1,"fence":{"number":1,"term":1,"turn":1},"by":"x","member":"c1",` +
				`"want":{"program":{"path":"/p","digest":"d"},"shape":{"a":1}}}`,
		),
	)
	f.Add([]byte(`{"format":1,"fence":{"number":-1}}`))
	f.Add(
		[]byte(
			`{"format":2,"fence":{"number":1,"term":1,"turn":1},"by":"x","member":"c1","why":"y",` +
				`"want":{"program":{"path":"/p","digest":"d"}}}`,
		),
	)
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ReadOrder(bytes.NewReader(text))
		if err != nil {
			return
		}
		again, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		p, err := ReadOrder(bytes.NewReader(again))
		if err != nil || p.Spec.Digest() != o.Spec.Digest() || p.Fence != o.Fence {
			t.Fatalf("%s reads back as %+v, %v", text, p, err)
		}
	})
}
