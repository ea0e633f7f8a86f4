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

// Bits of message.Flags.
const (
	flagLeaving  = 1 << 0
	flagSettling = 1 << 1
)

// message is a heartbeat as encoded on the wire: a MessagePack array of its
// fields in order.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Process is the sender's incarnation without its lowest incarnationShift
	// bits: the start time of the process in units of 17 ms, modulo 2^32.
	Process uint32
	// Period is the time until the next heartbeat in units of 25 ms.
	Period   uint8
	Flags    uint8
	ListHash uint32
	// RowsHash covers the whole VM list, including states and addresses.
	RowsHash uint16
	Ages     []byte
	// Parts holds the data of the extensions.
	Parts []part
}

const (
	// periodUnit is the unit of message.Period.
	periodUnit = 25 * time.Millisecond
	// incarnationShift drops the low bits of an incarnation, which is in
	// nanoseconds.
	incarnationShift = 24
)

// part is the data of one extension in a heartbeat.
type part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key  string
	Data []byte
}

// DecodeMsgpack decodes a heartbeat of this or another version of the format.
func (m *message) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &m.Process, &m.Period, &m.Flags, &m.ListHash, &m.RowsHash, &m.Ages, &m.Parts)
}

// DecodeMsgpack decodes a part of this or another version of the format.
func (p *part) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &p.Key, &p.Data)
}

// encode returns a heartbeat and its parts in MessagePack. The period is rounded
// up to periodUnit and limited to the range of message.Period.
func encode(hb membership.Heartbeat, parts []part) ([]byte, error) {
	m := message{
		Process:  uint32(hb.Incarnation >> incarnationShift),
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

// decode returns the heartbeat and the parts of an encoded message.
func decode(data []byte) (membership.Heartbeat, []part, error) {
	var m message
	if err := wire.Unmarshal(data, &m); err != nil {
		return membership.Heartbeat{}, nil, err
	}
	hb := membership.Heartbeat{
		Incarnation: fleet.Incarnation(m.Process) << incarnationShift,
		Period:      time.Duration(m.Period) * periodUnit,
		Leaving:     m.Flags&flagLeaving != 0,
		Settling:    m.Flags&flagSettling != 0,
		ListHash:    m.ListHash,
		RowsHash:    m.RowsHash,
		Ages:        m.Ages,
	}
	return hb, m.Parts, nil
}
