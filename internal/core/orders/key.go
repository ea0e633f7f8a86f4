package orders

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Key identifies an order. The caller chooses it.
type Key string

// ErrInvalidKey means that a key has no mint time. Without one it is not
// possible to tell whether the records about the key have expired.
var ErrInvalidKey = errors.New("an order's key must be a UUID of version 7 or a ticket")

// ticketPrefix is the prefix of all tickets.
const ticketPrefix = "zt1."

// uuidVersionDated is the UUID version whose first 48 bits are a Unix time in
// milliseconds (RFC 9562).
const uuidVersionDated = 7

// Ticket is a key that a router has minted under its own claim. Only the
// process that holds the claim may run it, so the order can run while the log
// is unavailable.
type Ticket struct {
	Partition int      `msgpack:"p"`
	Claim     uint64   `msgpack:"c"`
	Router    fleet.VM `msgpack:"r"`
	// MintedMS is the mint time as Unix time in milliseconds.
	MintedMS int64  `msgpack:"t"`
	Serial   uint64 `msgpack:"s"`
}

// Key returns the ticket encoded as a key.
func (t *Ticket) Key() Key {
	data, err := msgpack.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("orders: encode ticket: %v", err))
	}
	return Key(ticketPrefix + base64.RawURLEncoding.EncodeToString(data))
}

// ParsedKey is a key with the values that it encodes.
type ParsedKey struct {
	Key    Key
	Minted time.Time
	// Ticket is nil for a UUID.
	Ticket *Ticket
}

// ParseKey decodes a key and returns ErrInvalidKey when it is neither a
// version 7 UUID nor a ticket. All spellings of a UUID give the same key.
func ParseKey(text string) (ParsedKey, error) {
	if strings.HasPrefix(text, ticketPrefix) {
		return parseTicket(text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != uuidVersionDated {
		return ParsedKey{}, ErrInvalidKey
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	minted := time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:])))
	return ParsedKey{Key: Key(id.String()), Minted: minted}, nil
}

func parseTicket(text string) (ParsedKey, error) {
	data, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(text, ticketPrefix))
	if err != nil {
		return ParsedKey{}, ErrInvalidKey
	}
	var t Ticket
	if err := wire.Unmarshal(data, &t); err != nil {
		return ParsedKey{}, ErrInvalidKey
	}
	if string(t.Key()) != text {
		return ParsedKey{}, ErrInvalidKey
	}
	return ParsedKey{Key: Key(text), Minted: time.UnixMilli(t.MintedMS), Ticket: &t}, nil
}

// Partition returns the partition of the key, from 0 to n-1, where n is the
// number of partitions.
func (p ParsedKey) Partition(n int) int {
	if p.Ticket != nil {
		return ((p.Ticket.Partition % n) + n) % n
	}
	return int(xxhash.Sum64String(string(p.Key)) % uint64(n))
}

// NewKey returns a version 7 UUID that is dated now.
func NewKey(now time.Time, random [10]byte) Key {
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(now.UnixMilli()))
	copy(id[:6], ms[2:])
	copy(id[6:], random[:])
	id[6] = id[6]&0x0f | uuidVersionDated<<4
	id[8] = id[8]&0x3f | 0x80
	return Key(id.String())
}
