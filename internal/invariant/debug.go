//go:build debug

package invariant

func violated(name string) { panic("does not hold: " + name) }
