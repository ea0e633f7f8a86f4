// Package wire encodes and decodes the frames that routers exchange over TCP, and
// checks received streams and responses for missing, duplicate and misdirected
// frames.
//
// A frame is a length prefix of 4 bytes, big-endian, and a msgpack array of that
// many bytes. A later version adds fields at the end of the array, where this
// version skips them. Control frames outside of streams use a shorter array with
// fewer fields, which can't be extended in this way.
package wire

import (
	"github.com/zinniafork/zinniafork/internal/call"
)

// Range of protocol versions that this build supports.
const (
	// MinVersion is the oldest supported version.
	MinVersion = 1
	// MaxVersion is the newest supported version.
	MaxVersion = 1
)

// Sizes and limits of frames.
const (
	// HeaderBytes is the size of the length prefix of a frame.
	HeaderBytes = 4
	// DefaultMaxFrameBytes is the size limit of a frame if the settings give
	// none.
	DefaultMaxFrameBytes = 8 << 20
	// MaxChunkBytes is the largest part of a response body in one frame.
	MaxChunkBytes = 32 << 10
)

// Type is the purpose of a frame.
type Type uint8

// Types of frames.
const (
	// TypeHello is the first frame of each side; its body is a Hello.
	TypeHello Type = iota + 1
	// TypePing asks for a TypePong.
	TypePing
	// TypePong is the reply to a TypePing.
	TypePong
	// TypeGoAway means that its sender accepts no new streams on the
	// connection; its body is a GoAway.
	TypeGoAway
	// TypeDone means that its sender opens no more streams on the connection
	// and waits for none.
	TypeDone
	// TypeControl carries a one-way message, named by Kind.
	TypeControl
	// TypeQuery opens a stream that ends with one TypeReply or TypeReset.
	TypeQuery
	// TypeReply carries the reply to a TypeQuery.
	TypeReply
	// TypeCall opens a stream for a request; its body is a Call. The response
	// is one TypeHead, any number of TypeChunk and one TypeEnd, or ends early
	// with TypeReset.
	TypeCall
	// TypeHead starts a response; its body is a call.Head.
	TypeHead
	// TypeChunk carries a part of the response body, which starts at Offset.
	TypeChunk
	// TypeEnd ends a response; its body is a call.End.
	TypeEnd
	// TypeReset ends a stream with an error; its body is a call.Error.
	TypeReset
	// TypeCancel means that the side that opened a stream needs no more of it.
	TypeCancel
	// TypeCredit allows the sender of chunks to send Offset more bytes.
	TypeCredit

	typeLimit
)

// Valid reports whether t is a type that this version knows.
func (t Type) Valid() bool { return t > 0 && t < typeLimit }

// Frame is one message on a connection.
type Frame struct {
	Type Type
	// Stream is the number of the stream: odd if the dialer opened it, even if
	// the acceptor did, 0 for frames outside of streams.
	Stream uint64
	// Kind names the message of a control frame or of a frame that opens a
	// stream.
	Kind string
	// Request and Attempt identify the call on every frame of a call.
	Request call.ID
	Attempt call.Attempt
	// Offset is the position of a chunk in the response body or, on a credit
	// frame, the number of bytes granted. Both are in bytes.
	Offset uint64
	// Body is the payload: a part of the response body in a chunk, in most
	// other frames a msgpack value.
	Body []byte
}

// Hello describes the sender of a TypeHello frame.
type Hello struct {
	// MinVersion and MaxVersion are the range of protocol versions that the
	// sender supports.
	MinVersion int `msgpack:"n"`
	MaxVersion int `msgpack:"x"`
	// VM and Incarnation identify the process of the sender.
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	// Site is the site of the sender.
	Site string `msgpack:"s"`
	// Connection is the number that the dialer gave to this connection.
	Connection uint64 `msgpack:"c"`
	// Previous is the number of the last connection between the two routers
	// that the dialer knew of when it dialed.
	Previous uint64 `msgpack:"p"`
	// WindowBytes is the initial credit for each response that the sender of
	// the Hello receives, in bytes.
	WindowBytes uint64 `msgpack:"w"`
	// MaxFrameBytes is the size limit of frames that the sender of the Hello
	// receives, length prefix excluded. 0 means no limit.
	MaxFrameBytes uint64 `msgpack:"f"`
}

// GoAway is the body of a TypeGoAway frame. Reason says why its sender accepts no
// more streams.
type GoAway struct {
	Reason string `msgpack:"r"`
}

// Call is the body of a TypeCall frame.
type Call struct {
	// Request is the request to run.
	Request *call.Request `msgpack:"q"`
	// RemainingNanos is the time until the deadline in nanoseconds, 0 for none.
	// It is relative because the clocks of two VMs may differ.
	RemainingNanos int64 `msgpack:"t"`
}
