package scripts

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

const (
	modulePrefix     = "swiftreel/"
	layersHeading    = "## Packages by layer"
	architecturePage = "../docs/architecture.md"
)

// TestImportsFollowTheLayersOfTheArchitecturePage checks that each package is listed in the table of layers and imports
// no package from a higher layer.
func TestImportsFollowTheLayersOfTheArchitecturePage(t *testing.T) {
	layers := readLayers(t)
	for importer, imported := range listImports(t) {
		if _, listed := layers[importer]; !listed {
			t.Errorf("%s is not listed in any layer in docs/architecture.md", importer)
		}
		for _, name := range imported {
			if layers[importer] > layers[name] {
				t.Errorf("%s imports %s, which is in a higher layer", importer, name)
			}
		}
	}
}

// readLayers returns the layer number of each package, counted from the top of the table.
func readLayers(t *testing.T) map[string]int {
	t.Helper()
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), layersHeading)
	if !found {
		t.Fatalf("%s has no section %q", architecturePage, layersHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	names := regexp.MustCompile("`([a-z0-9/-]+)`")
	layers := map[string]int{}
	layer := 0
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		if strings.TrimSpace(cells[1]) != "" { // a row without a name continues the layer above it
			layer++
		}
		for _, match := range names.FindAllStringSubmatch(cells[2], -1) {
			layers[match[1]] = layer
		}
	}
	return layers
}

// listImports returns, for each package, the packages of this module that it imports. It leaves out tests, and the
// packages under internal/proof and scripts.
func listImports(t *testing.T) map[string][]string {
	t.Helper()
	const form = "{{.ImportPath}} {{join .Imports \" \"}}"
	command := exec.CommandContext(t.Context(), "go", "list", "-f", form, "swiftreel/...")
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	imports := map[string][]string{}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		importer := strings.TrimPrefix(fields[0], modulePrefix)
		if strings.HasPrefix(importer, "internal/proof") || strings.HasPrefix(importer, "scripts") {
			continue
		}
		imports[importer] = nil
		for _, name := range fields[1:] {
			if own, isOwn := strings.CutPrefix(name, modulePrefix); isOwn {
				imports[importer] = append(imports[importer], own)
			}
		}
	}
	if len(imports) == 0 {
		t.Fatal("no packages")
	}
	return imports
}
