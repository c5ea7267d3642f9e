package wire

import (
	"encoding/binary"
	"io"
	"math"

	"swiftreel/choice"
)

const (
	replyHeaderSize = 8 // the length and the number of records
	countSize       = 4
	actionSize      = 24 // bytes of a record
)

var actionCodes = map[choice.ActionKind]byte{
	choice.Dispatch:           10,
	choice.Throttle:           20,
	choice.CancelPermanently:  30,
	choice.CancelAttempt:      40,
	choice.SetTimer:           50,
	choice.SendProbe:          60,
	choice.CloseIdle:          70,
	choice.SendGossip:         80,
	choice.Log:                90,
	choice.Fault:              100,
	choice.WatchEngines:       110,
	choice.ListEngines:        120,
	choice.SetDispatchOptions: 130,
}

// Reply collects the actions that answer one batch. Its zero value is empty.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Add appends an action of an instance.
func (p *Reply) Add(instance InstanceID, action choice.Action) {
	be := binary.BigEndian
	var record [actionSize]byte
	record[0] = actionCodes[action.Kind]
	be.PutUint16(record[1:], uint16(instance))
	be.PutUint32(record[3:], uint32(action.Job))
	switch action.Kind {
	case choice.Dispatch:
		be.PutUint32(record[7:], uint32(action.Engine))
		be.PutUint64(record[11:], uint64(action.Duration))
	case choice.Throttle:
		be.PutUint64(record[7:], uint64(action.Duration))
	case choice.CancelAttempt:
		be.PutUint16(record[7:], uint16(action.Seq))
	case choice.SetDispatchOptions:
		record[7] = action.Priority
		be.PutUint32(record[8:], math.Float32bits(float32(action.MemoryMB)))
	case choice.SetTimer:
		be.PutUint64(record[3:], uint64(action.Duration))
		be.PutUint64(record[11:], uint64(action.TimerID))
	case choice.SendProbe, choice.CloseIdle:
		be.PutUint32(record[3:], uint32(action.Engine))
	case choice.WatchEngines:
		if action.Enabled {
			record[3] = 1
		}
	case choice.SendGossip:
		be.PutUint32(record[3:], uint32(action.Peer))
		p.addText(record[7:], action.Payload)
	case choice.Log, choice.Fault:
		p.addText(record[3:], action.Text)
	}
	p.records = append(p.records, record[:]...)
	p.count++
}

// addText appends a text to the tail, and writes its offset and length into a record.
func (p *Reply) addText(span []byte, text string) {
	binary.BigEndian.PutUint32(span, uint32(len(p.tail)))
	binary.BigEndian.PutUint32(span[4:], uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// WriteTo writes the reply as one frame and clears it for the next batch.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := make([]byte, replyHeaderSize, replyHeaderSize+len(p.records)+len(p.tail))
	binary.BigEndian.PutUint32(frame, uint32(countSize+len(p.records)+len(p.tail)))
	binary.BigEndian.PutUint32(frame[lengthSize:], p.count)
	frame = append(frame, p.records...)
	frame = append(frame, p.tail...)
	*p = Reply{records: p.records[:0], tail: p.tail[:0]}
	n, err := w.Write(frame)
	return int64(n), err
}
