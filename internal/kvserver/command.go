package kvserver

import "github.com/chalkhub/chalkhub/internal/kvstore"

// command is a change that is asked for, one of the types below.
type command interface{ isCommand() }

type (
	// commitTxn commits a transaction that Validate has found well formed.
	commitTxn struct{ txn *kvstore.Txn }
	// grantLease begins a lease.
	grantLease struct{ ttlMillis int64 }
	// renewLease gives a lease its full time again.
	renewLease struct{ leaseID uint64 }
	// revokeLease ends a lease.
	revokeLease struct{ leaseID uint64 }
)

func (commitTxn) isCommand()   {}
func (grantLease) isCommand()  {}
func (renewLease) isCommand()  {}
func (revokeLease) isCommand() {}

// outcome is what became of a command.
type outcome int

const (
	// outcomeUnknown means that nobody knows whether the change is durable. The client may
	// not be told anything, for whatever it is told may be wrong.
	outcomeUnknown outcome = iota
	// outcomeDone means that the change is durable.
	outcomeDone
	// outcomeConflict means that a condition of a transaction did not hold.
	outcomeConflict
	// outcomeInvalid means that the command can never be executed as it is.
	outcomeInvalid
	// outcomeNotFound means that the lease does not exist, or no longer.
	outcomeNotFound
	// outcomeUnavailable means that nothing was done, and that it may be tried again.
	outcomeUnavailable
)

// reply answers a command.
type reply struct {
	outcome outcome
	txn     kvstore.TxnResult // of a commitTxn that is done or in conflict
	leaseID uint64            // of a grantLease that is done
	err     error             // the reason if it is invalid, not found or unavailable
}
