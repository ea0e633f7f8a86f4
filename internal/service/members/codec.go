package members

import (
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// Flags of a heartbeat.
const (
	flagLeaving  = 1 << 0
	flagSettling = 1 << 1
)

// message is a heartbeat on the wire.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Process is the incarnation in units of 17 ms.
	Process uint32
	// Period is the time until the next heartbeat in units of 25 ms.
	Period   uint8
	Flags    uint8
	ListHash uint32
	// RowsHash covers the whole list, states of VMs included.
	RowsHash uint16
	Ages     []byte
	Parts    []part
}

const (
	periodUnit   = 25 * time.Millisecond
	processShift = 24
)

// part is one extension of a heartbeat.
type part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key  string
	Data []byte
}

// DecodeMsgpack reads a heartbeat of this or another version.
func (m *message) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &m.Process, &m.Period, &m.Flags, &m.ListHash, &m.RowsHash, &m.Ages, &m.Parts)
}

// DecodeMsgpack reads an extension of this or another version.
func (p *part) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &p.Key, &p.Data)
}

func encode(hb membership.Heartbeat, parts []part) ([]byte, error) {
	m := message{
		Process:  uint32(hb.Incarnation >> processShift),
		Period:   uint8(min((hb.Period+periodUnit-1)/periodUnit, math.MaxUint8)),
		ListHash: hb.ListHash,
		RowsHash: hb.RowsHash,
		Ages:     hb.Ages,
		Parts:    parts,
	}
	if hb.Leaving {
		m.Flags |= flagLeaving
	}
	if hb.Settling {
		m.Flags |= flagSettling
	}
	return wire.Marshal(&m)
}

func decode(data []byte) (membership.Heartbeat, []part, error) {
	var m message
	if err := wire.Unmarshal(data, &m); err != nil {
		return membership.Heartbeat{}, nil, err
	}
	hb := membership.Heartbeat{
		Incarnation: fleet.Incarnation(m.Process) << processShift,
		Period:      time.Duration(m.Period) * periodUnit,
		Leaving:     m.Flags&flagLeaving != 0,
		Settling:    m.Flags&flagSettling != 0,
		ListHash:    m.ListHash,
		RowsHash:    m.RowsHash,
		Ages:        m.Ages,
	}
	return hb, m.Parts, nil
}
