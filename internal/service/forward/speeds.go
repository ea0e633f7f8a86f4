package forward

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/loadtable"
	"github.com/zinniafork/zinniafork/internal/core/workload"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// speedSize is the length in bytes of an entry of digest.Speeds: the index of the target in
	// 2 bytes, little endian, the weight in units of 1/speedUnits in 1, and the logarithm of
	// the pace in the same units, with a sign, in 1.
	speedSize  = 4
	speedUnits = 32
	// maxSpeeds limits the entries of one digest to 1 KB.
	maxSpeeds = 256
)

// appendSpeeds encodes the paces of targets that the table can hold.
func appendSpeeds(enc *loadtable.Encoder, speeds []workload.Speed) []byte {
	var out []byte
	for _, s := range speeds {
		if index, ok := enc.Index(s.Target); ok {
			out = binary.LittleEndian.AppendUint16(out, index)
			pace := min(max(math.Round(speedUnits*s.LogPace), math.MinInt8), math.MaxInt8)
			out = append(out, uint8(min(max(math.Round(speedUnits*s.Weight), 1), math.MaxUint8)), uint8(int8(pace)))
		}
	}
	return out
}

// decodeSpeeds decodes the paces of targets, given those of the table by index. Entries with
// an unknown index, an incomplete one at the end and those beyond maxSpeeds are ignored: the
// time to merge entries grows with the square of their number.
func decodeSpeeds(refs []fleet.Ref, data []byte) []workload.Speed {
	var out []workload.Speed
	data = data[:min(len(data), maxSpeeds*speedSize)]
	for ; len(data) >= speedSize; data = data[speedSize:] {
		if index := int(binary.LittleEndian.Uint16(data)); index < len(refs) {
			out = append(out, workload.Speed{
				Target: refs[index], Weight: float64(data[2]) / speedUnits, LogPace: float64(int8(data[3])) / speedUnits,
			})
		}
	}
	return out
}

// takeSpeeds returns what this router's responses have shown since the last call, nil unless
// load is measured as work. The caller holds the lock.
func (w *workState) takeSpeeds() []workload.Speed {
	if w == nil {
		return nil
	}
	return w.model.TakeSpeeds()
}

// learnSpeeds takes what the responses of other routers have shown. The caller holds the lock.
func (w *workState) learnSpeeds(now time.Time, speeds []workload.Speed) {
	if w != nil {
		w.model.LearnSpeeds(now, speeds)
	}
}
