package choice

// Nanos is a point in time or a duration, in whole nanoseconds.
type Nanos int64

const (
	ms     = Nanos(1e6)
	second = Nanos(1e9)
)

// Each kind of identifier is a type of its own.
type (
	// JobID numbers a job of this controller.
	JobID uint32
	// EngineID numbers an engine of the fleet.
	EngineID uint32
	// Key is the hash of a job's key, which orders jobs and lets engines drop repeats; 0 is none.
	Key uint64
	// TypeID is the place of a reservation type in the settings.
	TypeID uint8
	// TenantID is the place of a tenant in the settings.
	TenantID uint32
	// ZoneID is the place of a zone in the settings.
	ZoneID uint8
	// KindID is the place of a kind of engine in the settings.
	KindID uint16
	// CellID numbers a group of engines that drop each other's repeats.
	CellID uint16
	// AttemptSeq numbers the attempts of one job from 0.
	AttemptSeq uint16
	// PeerID numbers a controller of the fleet.
	PeerID uint32
	// TimerID numbers the timers of a controller.
	TimerID uint64
	// TableGroup names a group of tables; loads on one group exclude each other.
	TableGroup int64
)
