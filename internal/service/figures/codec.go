package figures

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// report is the sums that one router knows: its own and those of the routers
// that send it theirs.
type report struct {
	figures []Figure
	// routers counts the routers that the figures include.
	routers int
	at      time.Time
}

// message is a report on the wire. Members are left out: the configuration
// tells them.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Routers int
	Rows    []row
}

type row struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Account     fleet.Account
	Requests    uint64
	Completed   uint64
	InTime      uint64
	Refused     uint64
	Failed      uint64
	FirstByteMS uint64
	BusyMS      uint64
}

// EncodeSums returns the message that takes sums of a number of routers to the
// parent.
func EncodeSums(all []Figure, routers int) []byte {
	m := message{Routers: routers, Rows: make([]row, 0, len(all))}
	for _, f := range all {
		m.Rows = append(m.Rows, row{
			Account:     f.Account,
			Requests:    f.Requests,
			Completed:   f.Completed,
			InTime:      f.InTime,
			Refused:     f.Refused,
			Failed:      f.Failed,
			FirstByteMS: f.FirstByteMS,
			BusyMS:      f.BusyMS,
		})
	}
	payload, err := wire.Marshal(&m)
	if err != nil {
		return nil
	}
	return payload
}

// decodeSums reads a report. Accounts that the configuration does not have
// belong to no member.
func decodeSums(payload []byte, e *config.Effective, at time.Time) (report, error) {
	var m message
	if err := wire.Unmarshal(payload, &m); err != nil {
		return report{}, err
	}
	out := report{routers: m.Routers, at: at}
	for _, r := range m.Rows {
		id := usage.ID{Account: r.Account}
		if e != nil {
			if a := e.Account(r.Account); a != nil {
				id.Member = a.Member
			}
		}
		out.figures = append(out.figures, Figure{ID: id, Counts: Counts{
			Requests:    r.Requests,
			Completed:   r.Completed,
			InTime:      r.InTime,
			Refused:     r.Refused,
			Failed:      r.Failed,
			FirstByteMS: r.FirstByteMS,
			BusyMS:      r.BusyMS,
		}})
	}
	return out, nil
}
