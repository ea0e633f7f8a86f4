package answers

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrIncomplete is returned if the length or digest at the end of a response
// differs from that of its parts.
var ErrIncomplete = errors.New("response does not match the length and digest of its end")

// Joiner joins the responses of several runs of one request for one receiver. A
// later run may continue where the previous one broke off, or start from the
// beginning. From a run that starts from the beginning, the receiver gets
// nothing until everything that it already has was received again and was the
// same. It is not safe for concurrent use.
type Joiner struct {
	// start is the offset of the first byte that the receiver got, delivered the
	// end of what it has, digest the digest of the bytes between. started is
	// true once a part has come.
	start     uint64
	delivered uint64
	digest    *xxhash.Digest
	started   bool

	// running is true once the current run has brought a part, at is the end of
	// its parts. replay is the digest of the run while it repeats what the
	// receiver has, nil otherwise.
	running   bool
	fromStart bool // the current run started at offset zero
	at        uint64
	replay    *xxhash.Digest
}

// NewJoiner returns a joiner that has received nothing.
func NewJoiner() *Joiner { return &Joiner{digest: xxhash.New()} }

// Delivered returns the offset of the end of what the receiver has.
func (j *Joiner) Delivered() uint64 { return j.delivered }

// FromStart reports whether the receiver has the response from offset zero on,
// so that a run that starts from the beginning can be compared with it.
func (j *Joiner) FromStart() bool { return j.started && j.start == 0 }

// NextRun tells that the parts that follow belong to another run.
func (j *Joiner) NextRun() {
	j.running = false
	j.replay = nil
}

// Add takes the part of the current run at an offset and returns the data that
// the receiver does not have yet, with its offset. The data is valid as long as
// part. It returns ErrGap if the part does not continue the run, and
// ErrMismatch if the run repeats what the receiver has with other content.
func (j *Joiner) Add(offset uint64, part []byte) (newData []byte, at uint64, err error) {
	if err := j.startRun(offset); err != nil {
		return nil, 0, err
	}
	if offset != j.at {
		return nil, 0, ErrGap
	}
	j.at += uint64(len(part))
	if j.replay != nil {
		part, err = j.compareReplay(part)
		if err != nil {
			return nil, 0, err
		}
	}
	at = j.delivered
	_, _ = j.digest.Write(part)
	j.delivered += uint64(len(part))
	return part, at, nil
}

// startRun takes the offset of the first part of a run.
func (j *Joiner) startRun(offset uint64) error {
	switch {
	case j.running:
		return nil
	case !j.started:
		j.started = true
		j.start, j.delivered = offset, offset
	case offset == j.delivered:
	case offset == 0 && j.start == 0:
		j.replay = xxhash.New()
	default:
		return ErrGap
	}
	j.running = true
	j.fromStart = offset == 0
	j.at = offset
	return nil
}

// compareReplay takes a part that repeats what the receiver has and returns the
// data after that.
func (j *Joiner) compareReplay(part []byte) ([]byte, error) {
	before := j.at - uint64(len(part))
	known := min(j.delivered-before, uint64(len(part)))
	_, _ = j.replay.Write(part[:known])
	if before+known < j.delivered {
		return nil, nil
	}
	if j.replay.Sum64() != j.digest.Sum64() {
		return nil, ErrMismatch
	}
	j.replay = nil
	return part[known:], nil
}

// End takes length and digest from the end of the current run and returns the
// digest of the joined response. The digest of the run is checked if the run
// started at offset zero; if the receiver does not have the response from the
// start on, it is returned unchecked. Errors are ErrMismatch and ErrIncomplete.
func (j *Joiner) End(length, digest uint64) (uint64, error) {
	if j.replay != nil {
		return 0, ErrMismatch
	}
	if length != j.delivered && j.started {
		return 0, ErrIncomplete
	}
	if !j.FromStart() {
		return digest, nil
	}
	sum := j.digest.Sum64()
	if j.fromStart && digest != sum {
		return 0, ErrIncomplete
	}
	return sum, nil
}
