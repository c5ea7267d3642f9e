// Package change describes a change of a fleet of controllers: its target, its stages, and the orders that are sent to
// each controller's supervisor.
//
// It defines the format of change files, orders and accepted orders, which are stored and sent on the wire: their JSON
// keys are set in tags and do not follow the Go names. Values are plain data without locks; a value that is shared
// between goroutines must not be modified. Only Load, FileDigest and Change.TargetSpec read files; the package uses no
// clock and no socket.
package change
