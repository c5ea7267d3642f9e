package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
"sockets":1024},"feed":"127.0.0.1:1","known":{"n":3,"events":[{"n":3}]},
"settings":{"classes":[{"name":"a"}],"x":{"y":1}}}`

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	env := map[string]string{"ROUTER_CONFIG": path, "ROUTER_NAME": "n4"}
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Load(func(name string) string { return env[name] })
	if err != nil || f.Name != "n4" || f.Listen != "127.0.0.1:0" || f.Seed != 0x8c1f30d27a5be964 ||
		f.Limits.Descriptors != 1024 ||
		f.CachedEvents.LastNumber != 3 || len(f.CachedEvents.Events) != 1 || f.Settings["x"].(map[string]any)["y"] != 1.0 {
		t.Fatalf("%+v %v", f, err)
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no ROUTER_CONFIG is an error")
	}
}

func TestIncompleteFilesAreRejected(t *testing.T) {
	for name, change := range map[string][2]string{
		"no JSON": {"{", ""}, "no seed": {"8c1f30d27a5be964", "zz"}, "no settings": {"settings", "other"},
		"no classes": {`[{"name":"a"}]`, "[]"}, "no memory": {"192", "0"}, "few sockets": {"1024", "8"},
		"no cores": {"1.0", "0"}, "no feed": {"127.0.0.1:1", ""},
	} {
		if _, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestErrorPositionsAndUnknownNames(t *testing.T) {
	for text, want := range map[string]string{
		"{\n\"name\": }": "line 2, column 9",
		"{\"name\": \"x\",\n \"limits\": {\"cores\": \"a\"}}": "line 2, column 24",
		"{\"name\":": "line 1",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
	f, err := Parse(
		[]byte(strings.Replace(strings.Replace(good, `"name"`, `"mood":1,"name"`, 1), `"cores"`, `"disks":1,"cores"`, 1)),
	)
	if err != nil || strings.Join(f.UnknownNames, " ") != "mood limits.disks" {
		t.Errorf("%v %v", f.UnknownNames, err)
	}
}
