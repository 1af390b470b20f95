// Package protocol defines the messages that users, workers, the cloud and the state service
// exchange with controllers, and their MessagePack codec.
//
// Struct tags map the protocol's own field names to the usual terms. The protocol's names appear
// in this package and nowhere else. The package makes no decisions and does no I/O.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the maximum size of a request body, in bytes.
const MaxBody = 64 << 10

// ContentType is the content type of the messages in this package. The link between peers does not
// use it.
const ContentType = "application/msgpack"

// Raw is an undecoded MessagePack value.
type Raw = msgpack.RawMessage

// ErrTrailing is returned by Decode if bytes follow the value.
var ErrTrailing = errors.New("trailing bytes after the value")

// Encode returns v as MessagePack. It panics if v has a type that cannot be encoded, which is a
// programming error.
func Encode(v any) []byte {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	msgpack.PutEncoder(enc)
	if err != nil {
		panic(fmt.Sprintf("protocol: encode %T: %v", v, err))
	}
	return buf.Bytes()
}

// Decode decodes the single MessagePack value in b into v, which must be a pointer. It returns an
// error if b is malformed or has trailing bytes. b may come from an untrusted source: the lengths
// stated in it are checked before memory is allocated for them.
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
