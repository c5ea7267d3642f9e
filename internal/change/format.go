//go:build !format1

package change

// Format is the version of the form of orders and statuses that this program writes. It reads its own and the one
// before; there is none before 1. Since 2 orders state a reason, and supervisors accept assignments of the fleet's
// leader.
const Format = 2
