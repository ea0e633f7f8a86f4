// Package wire encodes the frames that routers exchange over TCP.
//
// A frame on the wire is its length in 4 bytes, big-endian, and then a msgpack
// array of that length. Fields that a later version adds come at the end of
// the array, where this version skips them.
package wire

import (
	"github.com/zinniafork/zinniafork/internal/call"
)

// Versions of the protocol that this build speaks.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Limits of frames.
const (
	// HeaderBytes is the size of the length in front of each frame.
	HeaderBytes = 4
	// DefaultMaxFrameBytes limits one frame where settings name no limit.
	DefaultMaxFrameBytes = 8 << 20
	// MaxChunkBytes is the most of an answer's body that one frame carries.
	MaxChunkBytes = 32 << 10
)

// Type tells what a frame is for.
type Type uint8

// Types of frames.
const (
	// TypeHello is the first frame of each side; its body is a Hello.
	TypeHello Type = iota + 1
	// TypePing asks for a TypePong.
	TypePing
	TypePong
	// TypeGoAway tells that its sender takes no new streams on the
	// connection; its body is a GoAway.
	TypeGoAway
	// TypeDone tells that its sender opens no more streams on the connection
	// and waits for none.
	TypeDone
	// TypeControl carries a one-way message of its Kind.
	TypeControl
	// TypeQuery opens a stream that is answered by TypeReply or TypeReset.
	TypeQuery
	TypeReply
	// TypeCall opens a stream that is answered by one TypeHead, any number of
	// TypeChunk and one TypeEnd, or ended early by TypeReset.
	TypeCall
	TypeHead
	TypeChunk
	TypeEnd
	// TypeReset ends a stream with a call.Error as its body.
	TypeReset
	// TypeCancel tells that the opener of a stream wants no more of it.
	TypeCancel
	// TypeCredit lets the sender of chunks send Offset more bytes.
	TypeCredit

	typeLimit
)

// Valid reports whether t is a type that this version knows.
func (t Type) Valid() bool { return t > 0 && t < typeLimit }

// Frame is one message on a connection. Request and Attempt name the call that
// a frame belongs to, on every frame of a call.
type Frame struct {
	Type Type
	// Stream is odd for streams that the dialer opened and even for those of
	// the acceptor; zero for frames of no stream.
	Stream uint64
	// Kind names the message on frames that open a stream and on control
	// messages.
	Kind    string
	Request call.ID
	Attempt call.Attempt
	// Offset is the position of a chunk in the answer in bytes, and the number
	// of bytes granted on a credit frame.
	Offset uint64
	Body   []byte
}

// Hello is what each side tells of itself first.
type Hello struct {
	MinVersion int `msgpack:"n"`
	MaxVersion int `msgpack:"x"`
	// VM and Incarnation name the sending process.
	VM          string `msgpack:"v"`
	Incarnation uint64 `msgpack:"i"`
	Site        string `msgpack:"s"`
	// Connection is the dialer's number for this connection.
	Connection uint64 `msgpack:"c"`
	// Previous is the number of the last connection between the two that the
	// dialer knew of when it dialed.
	Previous uint64 `msgpack:"p"`
	// WindowBytes is the credit for each answer that the sender receives.
	WindowBytes uint64 `msgpack:"w"`
	// MaxFrameBytes is the largest frame that the sender takes.
	MaxFrameBytes uint64 `msgpack:"f"`
}

// GoAway tells why a side takes no more streams.
type GoAway struct {
	Reason string `msgpack:"r"`
}

// Call is the body of a TypeCall frame.
type Call struct {
	Request *call.Request `msgpack:"q"`
	// RemainingNanos is the time until the deadline, zero for none. It is
	// relative, so that clocks of two VMs need not agree.
	RemainingNanos int64 `msgpack:"t"`
}
