package core

import "testing"

// Tests from each state the transitions of listTrust: how far the owner of a machine may rely on the
// machine's task list.
func TestListTrustTransitions(t *testing.T) {
	const epoch = 3
	token := uint64(epoch << tokenBits)
	for _, tt := range []struct {
		name                    string
		from                    listTrust
		wasOwnedSinceConfirmed  bool
		transition              func(m *machine)
		want                    listTrust
		wantFenced              bool
		wantOwnedSinceConfirmed bool
	}{
		{name: "current token confirms the list", from: listUnconfirmed, transition: observe(token), want: listConfirmed, wantFenced: true},
		{name: "current token confirms the list after an expired lease", from: listExpired, transition: observe(token), want: listConfirmed, wantFenced: true},
		{name: "older token makes the list unconfirmed", from: listConfirmed, transition: observe(token - 1), want: listUnconfirmed},
		{name: "newer token makes the list unconfirmed", from: listConfirmed, transition: observe(token + 1), want: listUnconfirmed},
		{name: "older token leaves the lease expired", from: listExpired, transition: observe(token - 1), want: listExpired},
		{name: "raised token makes the list unconfirmed", from: listConfirmed, transition: (*machine).raiseToken, want: listUnconfirmed},
		{name: "raised token leaves the lease expired", from: listExpired, transition: (*machine).raiseToken, want: listExpired},
		{name: "lease expiry with a confirmed list", from: listConfirmed, transition: (*machine).expireLease, want: listExpired},
		{name: "lease expiry with an unconfirmed list", from: listUnconfirmed, transition: (*machine).expireLease, want: listExpired},
		{name: "new epoch with the same owner remembers the confirmed list", from: listConfirmed, transition: reset(true), want: listUnconfirmed, wantOwnedSinceConfirmed: true},
		{name: "new epoch with the same owner remembers an earlier confirmed list", from: listUnconfirmed, wasOwnedSinceConfirmed: true, transition: reset(true), want: listUnconfirmed, wantOwnedSinceConfirmed: true},
		{name: "new epoch with the same owner leaves the lease expired", from: listExpired, transition: reset(true), want: listExpired},
		{name: "new epoch with a new owner forgets the confirmed list", from: listConfirmed, wasOwnedSinceConfirmed: true, transition: reset(false), want: listUnconfirmed},
		{name: "new epoch with a new owner no longer assumes an expired lease", from: listExpired, transition: reset(false), want: listUnconfirmed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := &machine{trust: tt.from, token: token, minToken: token, ownedSinceConfirmed: tt.wasOwnedSinceConfirmed}
			tt.transition(m)
			if m.trust != tt.want || m.fenced != tt.wantFenced || m.ownedSinceConfirmed != tt.wantOwnedSinceConfirmed {
				t.Errorf("trust %v, fenced %v, owned since confirmed %v; want %v, %v, %v", m.trust, m.fenced, m.ownedSinceConfirmed, tt.want, tt.wantFenced, tt.wantOwnedSinceConfirmed)
			}
		})
	}
}

func observe(token uint64) func(*machine) {
	return func(m *machine) { m.observeToken(token) }
}

// reset returns a transition to the epoch that follows that of the machine's token.
func reset(ownedBefore bool) func(*machine) {
	return func(m *machine) { m.resetForEpoch(m.token>>tokenBits+1, ownedBefore) }
}
