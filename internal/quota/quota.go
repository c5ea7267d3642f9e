// Package quota divides the fleet's threads and the tenants' quotas among the controllers. Demand computes the target
// shares; Ledger ensures that the sum of the shares in use never exceeds the full amount, even while a share is being
// withdrawn from an unreachable controller, and across a change of leader.
//
// The package is free of I/O and clock: callers pass the time in nanoseconds. Its types are not safe for concurrent
// use.
package quota

import (
	"slices"
	"strings"
)

// FullShare is the whole of a resource; shares are in millionths.
const FullShare = 1_000_000

// Resource identifies what is divided: the fleet's threads or a tenant's quota. It is the key of Shares on the wire.
type Resource string

// FleetThreads is the resource that stands for the threads of all engines.
const FleetThreads = Resource("fleet")

const tenantQuotaPrefix = "quota of "

// TenantQuota returns the resource that stands for a tenant's quota.
func TenantQuota(tenant string) Resource { return Resource(tenantQuotaPrefix + tenant) }

// Tenant returns the tenant whose quota the resource is, or false if it is not a tenant's quota.
func (r Resource) Tenant() (name string, isQuota bool) {
	return strings.CutPrefix(string(r), tenantQuotaPrefix)
}

// Shares holds a controller's shares by resource, in millionths.
type Shares map[Resource]int64

// resources returns the distinct resources of all given shares, sorted.
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
