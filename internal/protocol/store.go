package protocol

// KeyValue is a key with its value in the state service.
type KeyValue struct {
	Key     string `msgpack:"Key"`
	Value   Raw    `msgpack:"Data"`
	Version uint64 `msgpack:"Stamp"`
}

// KeyPage is a page of keys.
type KeyPage struct {
	Items    []KeyValue `msgpack:"Items"`
	More     bool       `msgpack:"More"`
	Revision uint64     `msgpack:"Ledger"`
}

// Guard is a condition of a transaction: the key has this version, 0 meaning
// that it does not exist.
type Guard struct {
	Key     string `msgpack:"Key"`
	Version uint64 `msgpack:"Stamp"`
}

// Operation is a put or a delete.
type Operation struct {
	Put    string `msgpack:"Set,omitempty"`
	Value  any    `msgpack:"Data,omitempty"`
	Lease  uint64 `msgpack:"Permit,omitempty"`
	Delete string `msgpack:"Delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	If   []Guard     `msgpack:"Guards"`
	Then []Operation `msgpack:"Then"`
}

// TransactionResult answers a transaction with 200 or 409.
type TransactionResult struct {
	Failed   []string `msgpack:"failed,omitempty"`
	Revision uint64   `msgpack:"Ledger"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"LifeMs"`
}

// LeaseResponse names the lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"Permit"`
}

// WatchEvent is one change.
type WatchEvent struct {
	Put     string `msgpack:"Set,omitempty"`
	Value   Raw    `msgpack:"Data,omitempty"`
	Delete  string `msgpack:"Delete,omitempty"`
	Version uint64 `msgpack:"Stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64       `msgpack:"Ledger"`
	Events   []WatchEvent `msgpack:"Events"`
}
