package protocol

// Item is a key with its value in the state service.
type Item struct {
	Key     string `msgpack:"Key"`
	Value   Raw    `msgpack:"Data"`
	Version uint64 `msgpack:"Stamp"`
}

// Items is a page of keys.
type Items struct {
	Items    []Item `msgpack:"Items"`
	More     bool   `msgpack:"More"`
	Revision uint64 `msgpack:"Ledger"`
}

// Guard is a condition of a transaction: the key has this version, 0 meaning
// that it does not exist.
type Guard struct {
	Key     string `msgpack:"Key"`
	Version uint64 `msgpack:"Stamp"`
}

// Op is a put or a delete.
type Op struct {
	Put    string `msgpack:"Set,omitempty"`
	Value  any    `msgpack:"Data,omitempty"`
	Lease  uint64 `msgpack:"Permit,omitempty"`
	Delete string `msgpack:"Delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Guard `msgpack:"Guards"`
	Then []Op    `msgpack:"Then"`
}

// TxnAnswer answers a transaction with 200 or 409.
type TxnAnswer struct {
	Failed   []string `msgpack:"failed,omitempty"`
	Revision uint64   `msgpack:"Ledger"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLms int64 `msgpack:"LifeMs"`
}

// LeaseAnswer names the lease.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"Permit"`
}

// Event is one change.
type Event struct {
	Put     string `msgpack:"Set,omitempty"`
	Value   Raw    `msgpack:"Data,omitempty"`
	Delete  string `msgpack:"Delete,omitempty"`
	Version uint64 `msgpack:"Stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `msgpack:"Ledger"`
	Events   []Event `msgpack:"Events"`
}
