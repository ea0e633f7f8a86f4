package owner

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/wire"
	"github.com/zinniafork/zinniafork/internal/wire/ints"
)

// leaseMessage is an ownership message as encoded for peers. Exactly one of
// Request and Reply is set.
type leaseMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Request *ownership.Request
	Reply   *ownership.Reply
}

// DecodeMsgpack decodes a message of this or another version of the format.
func (m *leaseMessage) DecodeMsgpack(dec *msgpack.Decoder) error {
	return ints.DecodeFields(dec, &m.Request, &m.Reply)
}

func encodeLease(s ownership.Message) ([]byte, error) {
	return wire.Marshal(&leaseMessage{Request: s.Request, Reply: s.Reply})
}

func decodeLease(data []byte) (leaseMessage, error) {
	var m leaseMessage
	err := wire.Unmarshal(data, &m)
	return m, err
}
