//go:build !format1

package change

// Format is the format version of the orders and statuses that this program writes. The program reads this version and
// the previous one; the first version is 1. Since version 2 orders contain a reason, and supervisors accept assignments
// of the fleet's leader.
const Format = 2
