//go:build !format1

package change

// Format is the form of orders and statuses that this program writes. It reads its own and the one before; there is none
// before 1. 2: orders say why, and keepers take words of the fleet's owner.
const Format = 2
