// Package quota divides the fleet's threads and the tenants' quotas among the controllers. Demand works out who
// should have which share; Ledger makes sure that the shares in use never exceed the full amount together, also while
// a share is taken back from a controller that cannot be reached, and across a change of leader.
//
// The package is free of I/O and clock: callers pass the time in nanoseconds. Its types are not safe for concurrent
// use.
package quota

import (
	"slices"
	"strings"
)

// FullShare is the whole of a resource: shares are counted in millionths.
const FullShare = 1_000_000

// Resource is what is divided: the fleet's threads, or a tenant's quota. It is the key of shares on the wire.
type Resource string

// Fleet is the threads of all engines.
const Fleet = Resource("fleet")

const tenantQuotaPrefix = "quota of "

// TenantQuota returns the resource that stands for a tenant's quota.
func TenantQuota(tenant string) Resource { return Resource(tenantQuotaPrefix + tenant) }

// Tenant returns whose quota the resource is; false: it is not a quota.
func (r Resource) Tenant() (name string, isQuota bool) {
	return strings.CutPrefix(string(r), tenantQuotaPrefix)
}

// Shares are a controller's shares, in millionths, by resource.
type Shares map[Resource]int64

// resources returns the resources of all given shares, sorted.
func resources(shares ...Shares) []Resource {
	var list []Resource
	for _, share := range shares {
		for resource := range share {
			list = append(list, resource)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
