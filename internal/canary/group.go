package canary

import (
	"fmt"
	"slices"
)

// MarshalText writes a group as a name in JSON objects: both names quoted.
func (g Group) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%q %q", g.Type, g.Tenant), nil }

// UnmarshalText reads that.
func (g *Group) UnmarshalText(text []byte) error {
	if _, err := fmt.Sscanf(string(text), "%q %q", &g.Type, &g.Tenant); err != nil {
		return fmt.Errorf("%q is no group: %w", text, err)
	}
	return nil
}

// Compare orders groups by type, then tenant.
func (g Group) Compare(o Group) int {
	return slices.Compare([]string{g.Type, g.Tenant}, []string{o.Type, o.Tenant})
}
