package kvserver

import "github.com/chalkhub/chalkhub/internal/kvstore"

// command is a change that a client requests, one of the types below.
type command interface{ isCommand() }

type (
	// commitTxn commits a transaction, which must have passed Txn.Validate.
	commitTxn struct{ txn *kvstore.Txn }
	// grantLease creates a lease.
	grantLease struct{ ttlMillis int64 }
	// renewLease makes a lease expire one full TTL from now.
	renewLease struct{ leaseID uint64 }
	// revokeLease ends a lease and deletes the keys attached to it.
	revokeLease struct{ leaseID uint64 }
)

func (commitTxn) isCommand()   {}
func (grantLease) isCommand()  {}
func (renewLease) isCommand()  {}
func (revokeLease) isCommand() {}

// outcome is the result of a command.
type outcome int

const (
	// outcomeUnknown means that it is not known whether the change is durable. The client
	// must get no response, because any response might be wrong.
	outcomeUnknown outcome = iota
	// outcomeDone means that the change is durable.
	outcomeDone
	// outcomeConflict means that a guard of a transaction did not hold, so nothing changed.
	outcomeConflict
	// outcomeInvalid means that the command was refused and that a retry cannot succeed.
	outcomeInvalid
	// outcomeNotFound means that the lease does not exist or has ended.
	outcomeNotFound
	// outcomeUnavailable means that nothing changed and that the client may retry.
	outcomeUnavailable
)

// reply is the response to a command.
type reply struct {
	outcome outcome
	txn     kvstore.TxnResult // for a commitTxn with outcomeDone or outcomeConflict
	leaseID uint64            // for a grantLease with outcomeDone
	err     error             // reason of outcomeInvalid, outcomeNotFound or outcomeUnavailable
}
