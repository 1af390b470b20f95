package kvstore

import (
	"errors"
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

func TestValidateRejectsOnlyMalformedTxnsWithReason(t *testing.T) {
	limits := Limits{MaxValueKiB: 1, MaxTxnOps: 2}
	value := protocol.Encode(1)
	valueOf := func(bytes int) protocol.Raw { return protocol.Raw(strings.Repeat("v", bytes)) }
	guards := func(n int) []protocol.Guard {
		guards := make([]protocol.Guard, n)
		for i := range guards {
			guards[i].Key = "k"
		}
		return guards
	}
	for _, test := range []struct {
		name       string
		txn        Txn
		wantReason string // empty if the transaction is valid
	}{
		{"empty", Txn{}, ""},
		{"put and delete of two keys", Txn{Then: []Op{{Put: "a", Value: value}, {Delete: "b"}}}, ""},
		{"value of the largest size", Txn{Then: []Op{{Put: "a", Value: valueOf(1024)}}}, ""},
		{"maximum number of guards", Txn{If: guards(8)}, ""},
		{"longest key", Txn{Then: []Op{{Delete: strings.Repeat("k", 200)}}}, ""},
		{"too many changes", Txn{Then: []Op{{Delete: "a"}, {Delete: "b"}, {Delete: "c"}}}, "3 changes in one transaction, at most 2"},
		{"too many guards", Txn{If: guards(9)}, "9 conditions in one transaction, at most 8"},
		{"guard without a key", Txn{If: []protocol.Guard{{}}}, "a key must have 1 to 200 bytes"},
		{"change without a key", Txn{Then: []Op{{}}}, "a key must have 1 to 200 bytes"},
		{"key too long", Txn{Then: []Op{{Delete: strings.Repeat("k", 201)}}}, "a key must have 1 to 200 bytes"},
		{"key with a space", Txn{Then: []Op{{Delete: "a b"}}}, "a key must not contain spaces"},
		{"put and delete in one change", Txn{Then: []Op{{Put: "a", Value: value, Delete: "a"}}}, "a change both sets and deletes"},
		{"key changed twice", Txn{Then: []Op{{Put: "a", Value: value}, {Delete: "a"}}}, "key a is changed twice"},
		{"put without a value", Txn{Then: []Op{{Put: "a"}}}, "key a is set without a value"},
		{"value too large", Txn{Then: []Op{{Put: "a", Value: valueOf(1025)}}}, "the value of a has 1025 bytes, at most 1 KiB"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.txn.Validate(limits)
			if test.wantReason == "" {
				if err != nil {
					t.Fatalf("a valid transaction was rejected: %v", err)
				}
				return
			}
			var malformedTxn *MalformedTxnError
			if !errors.As(err, &malformedTxn) || malformedTxn.Reason != test.wantReason {
				t.Fatalf("got error %v, want a MalformedTxnError with reason %q", err, test.wantReason)
			}
		})
	}
}
