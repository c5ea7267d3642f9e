package choice

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"testing"
)

// Recorded streams are gzipped JSON lines, one per event. Their keys are fixed here and do not depend on names in the
// package. An unknown key is an error.

// recordedFloat is a float64 that is decoded to the same bits, also where it is infinite or NaN.
type recordedFloat float64

// MarshalJSON writes infinities and NaN as strings, as JSON has no numbers for them.
func (f recordedFloat) MarshalJSON() ([]byte, error) {
	v := float64(f)
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return strconv.AppendQuote(nil, strconv.FormatFloat(v, 'g', -1, 64)), nil
	}
	return strconv.AppendFloat(nil, v, 'g', -1, 64), nil
}

// IsZero reports whether omitzero leaves the value out: 0, but not -0.
func (f recordedFloat) IsZero() bool { return math.Float64bits(float64(f)) == 0 }

// UnmarshalJSON reads a number, or one of "NaN", "+Inf" and "-Inf".
func (f *recordedFloat) UnmarshalJSON(text []byte) error {
	v, err := strconv.ParseFloat(string(bytes.Trim(text, `"`)), 64)
	*f = recordedFloat(v)
	return err
}

// recordedStep is one call of Decide: its time, its event and digests of its effects.
type recordedStep struct {
	At    int64         `json:"at"`
	Event recordedEvent `json:"event"`
	// digest of the actions without log texts; empty: no actions
	Decisions string   `json:"decisions,omitzero"`
	State     string   `json:"state"` // digest of the controller's state afterwards
	Log       []string `json:"log,omitzero"`
}

type recordedEvent struct {
	Kind               string              `json:"kind"`
	Seed               uint64              `json:"seed,omitzero"`
	Settings           map[string]any      `json:"settings,omitzero"`
	Job                uint32              `json:"job,omitzero"`
	Type               uint8               `json:"type,omitzero"`
	Tenant             uint32              `json:"tenant,omitzero"`
	Key                uint64              `json:"key,omitzero"`
	TimeLeft           int64               `json:"left,omitzero"`
	ArrivedAt          int64               `json:"arrived_at,omitzero"`
	Cost               int64               `json:"cost,omitzero"`
	CostKnown          bool                `json:"cost_known,omitzero"`
	IsRepeat           bool                `json:"repeat,omitzero"`
	IsWrite            bool                `json:"write,omitzero"`
	MemoryMB           recordedFloat       `json:"memory_mb,omitzero"`
	Tables             int64               `json:"tables,omitzero"`
	RequiredProtocols  uint8               `json:"needs,omitzero"`
	Seq                uint16              `json:"seq,omitzero"`
	Engine             uint32              `json:"engine,omitzero"`
	Result             string              `json:"result,omitzero"`
	Latency            int64               `json:"latency,omitzero"`
	IsFinal            bool                `json:"final,omitzero"`
	Usage              uint32              `json:"bill,omitzero"`
	Load               []recordedFloat     `json:"load,omitzero"`
	Progress           uint8               `json:"note,omitzero"`
	Amount             recordedFloat       `json:"amount,omitzero"`
	TimerID            uint64              `json:"mark,omitzero"`
	List               string              `json:"list,omitzero"`
	Engines            []recordedEngine    `json:"lines,omitzero"`
	Peer               uint32              `json:"peer,omitzero"`
	Payload            []byte              `json:"said,omitzero"`
	Plan               *recordedPlan       `json:"plan,omitzero"`
	PredecessorRunning bool                `json:"on,omitzero"`
	SuccessorRunning   bool                `json:"successor,omitzero"`
	MayBeRunning       bool                `json:"held,omitzero"`
	Pause              int64               `json:"pause,omitzero"`
	ReceivedAfter      int64               `json:"received_after,omitzero"`
	ReceivedBefore     int64               `json:"received_before,omitzero"`
	ClockOffset        Nanos               `json:"clock_offset,omitzero"`
	ConnectedAt        Nanos               `json:"connected_at,omitzero"`
	Quota              recordedQuota       `json:"part,omitzero"`
	TypeStats          []recordedTypeStats `json:"means,omitzero"`
	EngineHealth       []recordedHealth    `json:"health,omitzero"`
}

type recordedEngine struct {
	Engine      uint32        `json:"engine"`
	Zone        uint8         `json:"zone,omitzero"`
	Kind        uint16        `json:"kind,omitzero"`
	Cell        uint16        `json:"cell,omitzero"`
	State       string        `json:"state,omitzero"`
	Size        recordedFloat `json:"size,omitzero"`
	StartedAt   int64         `json:"started_at,omitzero"`
	Unsupported uint8         `json:"deaf,omitzero"`
}

type recordedPlan struct {
	Tenants        []recordedPlanTenant `json:"tenants,omitzero"`
	Engines        []recordedPlanEngine `json:"engines,omitzero"`
	Weights        []recordedPlanWeight `json:"weights,omitzero"`
	IdleEngines    []EngineID           `json:"idle,omitzero"`
	DemandThreads  recordedFloat        `json:"demand,omitzero"`
	MaxDemandRatio recordedFloat        `json:"factor,omitzero"`
}

type recordedPlanTenant struct {
	Tenant uint32        `json:"tenant"`
	Share  recordedFloat `json:"part"`
}

type recordedPlanEngine struct {
	Engine  uint32        `json:"engine"`
	Threads recordedFloat `json:"threads"`
}

type recordedPlanWeight struct {
	Type   uint8         `json:"type"`
	Engine uint32        `json:"engine"`
	Weight recordedFloat `json:"weight"`
}

type recordedQuota struct {
	FleetShare   recordedFloat            `json:"share,omitzero"`
	TenantShares map[uint32]recordedFloat `json:"tenants,omitzero"`
	ExpiresAt    int64                    `json:"until,omitzero"`
}

type recordedTypeStats struct {
	MeanWork        recordedFloat `json:"usual"`
	WorkCount       recordedFloat `json:"usual_n"`
	CostBias        recordedFloat `json:"cost_bias"`
	CostCount       recordedFloat `json:"cost_n"`
	MemoryBias      recordedFloat `json:"mem_bias"`
	MemoryDeviation recordedFloat `json:"mem_dev"`
	MemoryCount     recordedFloat `json:"mem_n"`
	BestSlowdown    recordedFloat `json:"best"`
	Slowdown        recordedFloat `json:"slow"`
}

type recordedHealth struct {
	Engine       uint32        `json:"engine"`
	LatencyRatio recordedFloat `json:"slow"`
	FailureRate  recordedFloat `json:"bad"`
	Ejected      bool          `json:"aside,omitzero"`
}

func encodeStep(tb testing.TB, step recordedStep) []byte {
	tb.Helper()
	line, err := json.Marshal(step)
	if err != nil {
		tb.Fatal(err)
	}
	return append(line, '\n')
}

func writeStream(tb testing.TB, path string, lines [][]byte) {
	tb.Helper()
	var packed bytes.Buffer
	z, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := z.Write(bytes.Join(lines, nil)); err != nil {
		tb.Fatal(err)
	}
	if err := z.Close(); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, packed.Bytes(), 0o644); err != nil {
		tb.Fatal(err)
	}
}

func readStream(tb testing.TB, path string) (steps []recordedStep) {
	tb.Helper()
	file, err := os.Open(path)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	z, err := gzip.NewReader(bufio.NewReader(file))
	if err != nil {
		tb.Fatal(err)
	}
	d := json.NewDecoder(z)
	d.DisallowUnknownFields()
	for {
		var step recordedStep
		if err := d.Decode(&step); errors.Is(err, io.EOF) {
			return steps
		} else if err != nil {
			tb.Fatalf("%s: step %d: %v", path, len(steps), err)
		}
		steps = append(steps, step)
	}
}
