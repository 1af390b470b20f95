package kvstore

import (
	"fmt"
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxKeyBytes is the longest key (PROTOCOL, POST /commit).
	maxKeyBytes = 200
	// guardsPerOp is how many conditions a transaction may have for each of the changes
	// that it may have.
	guardsPerOp = 4
)

// Limits are a site's bounds on transactions.
type Limits struct {
	MaxValueKiB float64 // of one value
	MaxTxnOps   int     // puts and deletes in a transaction
}

// Op is one change of a transaction, a put or a delete. Its value is still as it came.
type Op struct {
	Put     string       `msgpack:"Set"`
	Value   protocol.Raw `msgpack:"Data"`
	LeaseID uint64       `msgpack:"Permit"` // the lease that the key is attached to, 0: none
	Delete  string       `msgpack:"Delete"`
}

// key is the key that the change is about.
func (o *Op) key() string {
	if o.Put != "" {
		return o.Put
	}
	return o.Delete
}

// Txn is a transaction as it came: its changes are made if all its conditions hold.
type Txn struct {
	If   []protocol.Guard `msgpack:"Guards"`
	Then []Op             `msgpack:"Then"`
}

// MalformedTxnError says why a transaction can never be committed, whatever the store
// holds. The reason goes to the client.
type MalformedTxnError struct{ Reason string }

func (e *MalformedTxnError) Error() string { return e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedTxnError{Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a MalformedTxnError if the transaction is not well formed or is above
// the limits. Whether its leases exist only a Batch can say.
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

// validate checks a change, given the keys that earlier changes of its transaction are
// about.
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
