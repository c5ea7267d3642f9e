package choice

// Nanos is a point in time or a duration, in whole nanoseconds.
type Nanos int64

const (
	ms     = Nanos(1e6)
	second = Nanos(1e9)
)

// Identifiers. Each kind has a type of its own, so that the compiler tells them apart.
type (
	// JobID identifies a job of this controller.
	JobID uint32
	// EngineID identifies an engine of the fleet.
	EngineID uint32
	// Key is the hash of a job's key, by which jobs are ordered and engines drop repeats; 0: no key.
	Key uint64
	// TypeID is the index of a job type in the settings.
	TypeID uint8
	// TenantID is the index of a tenant in the settings.
	TenantID uint32
	// ZoneID is the index of a zone in the settings.
	ZoneID uint8
	// KindID is the index of a kind of engine in the settings.
	KindID uint16
	// CellID identifies a cell: a group of engines that drop repeats of each other's jobs.
	CellID uint16
	// AttemptSeq numbers the attempts of one job from 0.
	AttemptSeq uint16
	// PeerID is the index of a controller of the fleet.
	PeerID uint32
	// TimerID identifies a timer of a controller.
	TimerID uint64
	// TableGroup identifies a group of tables; loads into one group exclude each other.
	TableGroup int64
)
