package members

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/core/fleet"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Flags of a heartbeat.
const (
	flagLeaving  = 1 << 0
	flagSettling = 1 << 1
)

// message is a heartbeat on the wire.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Incarnation uint64
	// PeriodMS is the time until the next heartbeat in milliseconds.
	PeriodMS uint32
	Flags    uint8
	ListHash uint32
	Ages     []byte
	Parts    []part
}

// part is one extension of a heartbeat.
type part struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Key  string
	Data []byte
}

func encode(hb membership.Heartbeat, parts []part) ([]byte, error) {
	m := message{
		Incarnation: uint64(hb.Incarnation),
		PeriodMS:    uint32(hb.Period / time.Millisecond),
		ListHash:    hb.ListHash,
		Ages:        hb.Ages,
		Parts:       parts,
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
		Incarnation: fleet.Incarnation(m.Incarnation),
		Period:      time.Duration(m.PeriodMS) * time.Millisecond,
		Leaving:     m.Flags&flagLeaving != 0,
		Settling:    m.Flags&flagSettling != 0,
		ListHash:    m.ListHash,
		Ages:        m.Ages,
	}
	return hb, m.Parts, nil
}
