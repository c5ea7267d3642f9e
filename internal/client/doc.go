// Package client serves clients that speak MessagePack-RPC: its codec, connections, and calls with one answer each.
//
// A client sends requests ([0, id, type, [fields, statement]]), heartbeats ([0, id, "heartbeat", [fields]]) and
// revocations ([2, "revoke", [id]]); it gets [1, id, error, result] for each request that it does not revoke. Answers
// may come in any order.
//
// # Ownership and concurrency
//
// A Server is safe for concurrent use. It owns its connections. One goroutine a connection reads messages and never
// waits for a write; results are written by whoever has them; refusals and heartbeats are written by a goroutine that
// lives while there are some. A call ends once: by its answer, its revocation, or the end of its connection.
//
// Connections, open calls, memory and the rate of messages are bounded; what is over a bound is refused, slowed down
// or closed, and never delays other clients.
package client
