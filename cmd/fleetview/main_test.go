package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Operators' scripts call fleetview: it must do the same as rollout-view, and print a deprecation warning to stderr.
func TestFormerNameRunsRolloutView(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "swiftreel/cmd/fleetview", "swiftreel/cmd/rollout-view")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	folder, err := filepath.Abs("../rollout-view/testdata/folder")
	if err != nil {
		t.Fatal(err)
	}
	pages := map[string][]byte{}
	for _, name := range []string{"fleetview", "rollout-view"} {
		page := filepath.Join(dir, name+".html")
		var out, errs bytes.Buffer
		view := exec.Command(filepath.Join(dir, name), "report", "--record", folder, "--out", page)
		view.Stdout, view.Stderr = &out, &errs
		if err := view.Run(); err != nil {
			t.Fatalf("%s: %v: %s", name, err, errs.String())
		}
		isFormer := name == "fleetview"
		if out.Len() > 0 || strings.Contains(errs.String(), "fleetview is deprecated, use rollout-view") != isFormer {
			t.Errorf("%s: stdout %q, stderr %q", name, out.String(), errs.String())
		}
		if pages[name], err = os.ReadFile(page); err != nil {
			t.Fatal(err)
		}
	}
	if len(pages["fleetview"]) == 0 || !bytes.Equal(pages["fleetview"], pages["rollout-view"]) {
		t.Error("fleetview and rollout-view wrote different pages")
	}
	failing := exec.Command(filepath.Join(dir, "fleetview"), "report", "--record", dir)
	if text, err := failing.CombinedOutput(); err == nil || !strings.Contains(string(text), "no change is recorded") {
		t.Errorf("%v: %s", err, text)
	}
}
