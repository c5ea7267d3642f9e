// Package change describes a change of a fleet of controllers: what it leads to, in which stages, and the orders that
// carry it to each controller's supervisor.
//
// It owns the form of change files, orders and accepted orders, which stand on disk and on the wire: their JSON keys
// are stated in tags and do not follow the Go names. Values are plain data without locks; a value that is shared
// between goroutines must not be written to. Only Load, FileDigest and Change.TargetSpec read files; nothing here
// uses a clock or a socket.
package change
