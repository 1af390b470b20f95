package protocol

// KeyValue is a key in the state service with its value and the version of the key.
type KeyValue struct {
	Key     string `msgpack:"Key"`
	Value   Raw    `msgpack:"Data"`
	Version uint64 `msgpack:"Stamp"`
}

// KeyPage is a page of keys with their values, as of Revision.
type KeyPage struct {
	Items    []KeyValue `msgpack:"Items"`
	More     bool       `msgpack:"More"`
	Revision uint64     `msgpack:"Ledger"`
}

// Guard is a precondition of a transaction: the key has this version. Version 0 means that the key
// does not exist.
type Guard struct {
	Key     string `msgpack:"Key"`
	Version uint64 `msgpack:"Stamp"`
}

// Operation is a put or a delete of one key in a transaction. Lease 0 attaches the key to no lease.
type Operation struct {
	Put    string `msgpack:"Set,omitempty"`
	Value  any    `msgpack:"Data,omitempty"`
	Lease  uint64 `msgpack:"Permit,omitempty"`
	Delete string `msgpack:"Delete,omitempty"`
}

// Transaction is applied as a whole if all its guards hold, and not at all otherwise.
type Transaction struct {
	If   []Guard     `msgpack:"Guards"`
	Then []Operation `msgpack:"Then"`
}

// TransactionResult is the response to a transaction, with status 200 if it was applied and 409 if
// guards failed. Failed lists the keys of those guards.
type TransactionResult struct {
	Failed   []string `msgpack:"failed,omitempty"`
	Revision uint64   `msgpack:"Ledger"`
}

// LeaseRequest requests a lease with the given time to live.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"LifeMs"`
}

// LeaseResponse is the response to a LeaseRequest: the id of the granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"Permit"`
}

// WatchEvent is one change of a key: a put or a delete.
type WatchEvent struct {
	Put     string `msgpack:"Set,omitempty"`
	Value   Raw    `msgpack:"Data,omitempty"`
	Delete  string `msgpack:"Delete,omitempty"`
	Version uint64 `msgpack:"Stamp"`
}

// WatchResponse is the response to a watch: the changes up to Revision.
type WatchResponse struct {
	Revision uint64       `msgpack:"Ledger"`
	Events   []WatchEvent `msgpack:"Events"`
}
