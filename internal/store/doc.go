// Package store is an append-only log that survives a crash of the process and of the machine. Records are written to
// segments, made durable in groups with one sync, and compacted into checkpoints. Each record holds the checksum of the
// one before it. Open replays every record whose write was acknowledged, drops a torn tail (it was never acknowledged),
// and reports the file and offset of durable data that can no longer be read (CorruptError).
//
// # Files
//
// A store is a directory that one process has open at a time (file "lock"). All numbers are little endian.
//
//	log-<seq, 16 hex digits>  a segment; its first record has that sequence number
//	ckp-<seq, 16 hex digits>  a checkpoint; it replaces all records up to that sequence number
//	new-checkpoint            a checkpoint while it is written
//	new-segment               the last segment while it is rewritten after a crash
//
// Segments and checkpoints begin with a header of 52 bytes:
//
//	offset  size
//	0       8     magic: "SWRLOG\x00\x01" (segment) or "SWRCKP\x00\x01" (checkpoint)
//	8       2     format version, 1
//	10      2     zero
//	12      16    store identity, chosen at random when the store is created
//	28      8     segment: sequence number of its first record; checkpoint: of the last record that it replaces
//	36      8     segment: checksum of the record before the first one; checkpoint: of the last record that it replaces
//	44      8     checksum of the 44 bytes above
//
// Records follow without gaps:
//
//	offset  size
//	0       4     length of the payload, at most MaxPayload
//	4       1     record format, 1
//	5       1     kind
//	6       8     sequence number, from 1 without gaps (in a checkpoint: its own count)
//	14      8     sequence number up to which all records were durable when this one was written
//	22      8     checksum of the record before (the chain)
//	30      n     payload
//	30+n    8     checksum of the store identity and the bytes above
//
// Checksums are 64-bit xxHash. The last record of a checkpoint has kind 255 and no payload; a checkpoint without it
// is incomplete.
//
// # Recovery
//
// The chain separates a torn tail from stale bytes that look like a record, and a segment of another store or
// position from the expected one. A single flipped bit in a record or header is repaired. A tail that cannot be read is
// dropped unless a later record proves that it was durable.
//
// # Concurrency
//
// A Log is for one goroutine at a time. A Committer owns a Log and serves any number of goroutines.
package store
