package answers

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrIncomplete means that an answer ended with another length or digest than
// its parts have.
var ErrIncomplete = errors.New("answer does not have the length and digest of its end")

// Joiner puts the answers of several runs of one request together for one
// receiver. A later run may go on where the one before broke off, or begin
// again at the start. Of a run that begins again, the receiver gets nothing
// until all that it already has was seen once more and was the same.
type Joiner struct {
	// first is where the answer begins, passed the end of what the receiver
	// has, digest that of the bytes between.
	first  uint64
	passed uint64
	digest *xxhash.Digest
	begun  bool

	// at is the end of what the present run has brought. While it repeats what
	// the receiver has, repeat is the digest of it.
	running bool
	anew    bool // the present run began at the start
	at      uint64
	repeat  *xxhash.Digest
}

// NewJoiner returns the join of an answer of which nothing has come.
func NewJoiner() *Joiner { return &Joiner{digest: xxhash.New()} }

// Delivered returns the end of what the receiver has.
func (j *Joiner) Delivered() uint64 { return j.passed }

// FromStart reports whether the receiver has the answer from its start on, so that
// a run that begins again can be compared with it.
func (j *Joiner) FromStart() bool { return j.begun && j.first == 0 }

// NextRun says that the parts that follow come from another run.
func (j *Joiner) NextRun() {
	j.running = false
	j.repeat = nil
}

// Add takes the part of the present run at offset and returns what the
// receiver does not have yet, with its offset. The data is valid as long as
// part.
func (j *Joiner) Add(offset uint64, part []byte) (fresh []byte, at uint64, err error) {
	if err := j.begin(offset); err != nil {
		return nil, 0, err
	}
	if offset != j.at {
		return nil, 0, ErrGap
	}
	j.at += uint64(len(part))
	if j.repeat != nil {
		part, err = j.compare(part)
		if err != nil {
			return nil, 0, err
		}
	}
	at = j.passed
	_, _ = j.digest.Write(part)
	j.passed += uint64(len(part))
	return part, at, nil
}

// begin takes the offset of the first part of a run.
func (j *Joiner) begin(offset uint64) error {
	switch {
	case j.running:
		return nil
	case !j.begun:
		j.begun = true
		j.first, j.passed = offset, offset
	case offset == j.passed:
	case offset == 0 && j.first == 0:
		j.repeat = xxhash.New()
	default:
		return ErrGap
	}
	j.running = true
	j.anew = offset == 0
	j.at = offset
	return nil
}

// compare takes a part that repeats what the receiver has, and returns the
// rest of it behind that.
func (j *Joiner) compare(part []byte) ([]byte, error) {
	before := j.at - uint64(len(part))
	known := min(j.passed-before, uint64(len(part)))
	_, _ = j.repeat.Write(part[:known])
	if before+known < j.passed {
		return nil, nil
	}
	if j.repeat.Sum64() != j.digest.Sum64() {
		return nil, ErrMismatch
	}
	j.repeat = nil
	return part[known:], nil
}

// End takes the end of the present run and returns the digest of the whole
// answer. The digest of the run is compared when the run began at the start.
func (j *Joiner) End(length, digest uint64) (uint64, error) {
	if j.repeat != nil {
		return 0, ErrMismatch
	}
	if length != j.passed && j.begun {
		return 0, ErrIncomplete
	}
	if !j.FromStart() {
		return digest, nil
	}
	sum := j.digest.Sum64()
	if j.anew && digest != sum {
		return 0, ErrIncomplete
	}
	return sum, nil
}
