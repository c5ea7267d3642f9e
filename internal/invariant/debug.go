//go:build debug

package invariant

func violated(name string) { panic("invariant violated: " + name) }
