// Package client serves clients that speak MessagePack-RPC. It contains the codec, the connections, and the calls, each
// of which is answered at most once.
//
// A client sends requests ([0, id, type, [fields, statement]]), heartbeats ([0, id, "heartbeat", [fields]]) and
// revocations ([2, "revoke", [id]]). It receives [1, id, error, result] for each request that it does not revoke.
// Answers may arrive in any order.
//
// # Ownership and concurrency
//
// A Server is safe for concurrent use and owns its connections. Each connection has one reader goroutine, which never
// blocks on a write. A result is written by the goroutine that delivers it; refusals and heartbeat answers are written
// by a separate goroutine, which runs only while some are queued. A call ends exactly once: when it is answered or
// revoked, or when its connection ends.
//
// The number of connections and open calls, the memory and the message rate are bounded. Whatever exceeds a bound is
// refused, delayed or closed, and never delays other clients.
package client
