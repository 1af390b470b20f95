package kvstore

import (
	"fmt"
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxKeyBytes is the maximum length of a key (PROTOCOL, POST /commit).
	maxKeyBytes = 200
	// guardsPerOp is the ratio of the maximum number of guards in a transaction to the
	// maximum number of its operations.
	guardsPerOp = 4
)

// Limits are the configured limits on transactions.
type Limits struct {
	MaxValueKiB float64 // size of one value
	MaxTxnOps   int     // number of puts and deletes in one transaction
}

// Op is one operation of a transaction, a put or a delete. Its value is undecoded.
type Op struct {
	Put     string       `msgpack:"Set"` // key to put; empty for a delete
	Value   protocol.Raw `msgpack:"Data"`
	LeaseID uint64       `msgpack:"Permit"` // lease to attach the key to; 0 means none
	Delete  string       `msgpack:"Delete"` // key to delete; empty for a put
}

// key returns the key that the operation puts or deletes.
func (o *Op) key() string {
	if o.Put != "" {
		return o.Put
	}
	return o.Delete
}

// Txn is a transaction as a client sent it: its operations are applied if all its guards
// hold.
type Txn struct {
	If   []protocol.Guard `msgpack:"Guards"`
	Then []Op             `msgpack:"Then"`
}

// MalformedTxnError reports why a transaction can never be committed, whatever the store
// contains. The reason is sent to the client.
type MalformedTxnError struct{ Reason string }

func (e *MalformedTxnError) Error() string { return e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedTxnError{Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a MalformedTxnError if the transaction is malformed or exceeds the
// limits. It doesn't check whether the leases exist; Batch.Commit does.
func (t *Txn) Validate(limits Limits) error {
	if n := len(t.Then); n > limits.MaxTxnOps {
		return malformed("%d changes in one transaction, at most %d", n, limits.MaxTxnOps)
	}
	if n, maxGuards := len(t.If), guardsPerOp*limits.MaxTxnOps; n > maxGuards {
		return malformed("%d conditions in one transaction, at most %d", n, maxGuards)
	}
	for _, guard := range t.If {
		if err := validateKey(guard.Key); err != nil {
			return err
		}
	}
	changed := map[string]bool{}
	for i := range t.Then {
		op := &t.Then[i]
		if err := op.validate(limits, changed); err != nil {
			return err
		}
		changed[op.key()] = true
	}
	return nil
}

// validate checks an operation. The map changed holds the keys of the operations before it
// in the transaction, because a transaction may change a key only once.
func (o *Op) validate(limits Limits, changed map[string]bool) error {
	if o.Put != "" && o.Delete != "" {
		return malformed("a change both sets and deletes")
	}
	key := o.key()
	if err := validateKey(key); err != nil {
		return err
	}
	if changed[key] {
		return malformed("key %s is changed twice", key)
	}
	if o.Put != "" && len(o.Value) == 0 {
		return malformed("key %s is set without a value", key)
	}
	if float64(len(o.Value)) > limits.MaxValueKiB*1024 {
		return malformed("the value of %s has %d bytes, at most %g KiB", key, len(o.Value), limits.MaxValueKiB)
	}
	return nil
}

func validateKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return malformed("a key must have 1 to %d bytes", maxKeyBytes)
	}
	if strings.ContainsAny(key, " \t\r\n\x00") {
		return malformed("a key must not contain spaces")
	}
	return nil
}
