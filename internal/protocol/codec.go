// Package protocol holds the messages that users, workers, the cloud and the state service
// exchange with controllers, and their MessagePack codec. It maps the protocol's own field
// names to standard ones in struct tags: they appear here and nowhere else. It decides
// nothing and does no input or output.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest request body the protocol allows.
const MaxBody = 64 << 10

// ContentType of every body but the peer link's.
const ContentType = "application/msgpack"

// Raw is an undecoded MessagePack value.
type Raw = msgpack.RawMessage

// ErrTrailing is returned when bytes follow the value.
var ErrTrailing = errors.New("trailing bytes after the value")

// Encode turns v into MessagePack. It panics on types that cannot be encoded,
// which only a programming error can cause.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	msgpack.PutEncoder(enc)
	if err != nil {
		panic(fmt.Sprintf("wire: encode %T: %v", v, err))
	}
	return buf.Bytes()
}

// Decode reads one value and refuses trailing bytes.
func Decode(b []byte, v any) error {
	if err := validate(b); err != nil {
		return err
	}
	if heartbeat, ok := v.(*Heartbeat); ok {
		return heartbeat.decodeFields(b)
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(b))
	return dec.Decode(v)
}
