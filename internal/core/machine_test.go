package core

import "testing"

// The transitions of a machine's list, from each state.
func TestListTrustTransitions(t *testing.T) {
	const epoch = 3
	token := uint64(epoch << tokenBits)
	for _, tt := range []struct {
		name                    string
		from                    listTrust
		ownedSinceConfirmed     bool
		transition              func(m *machine)
		want                    listTrust
		wantFenced              bool
		wantOwnedSinceConfirmed bool
	}{
		{name: "current token confirms", from: listUnconfirmed, transition: observe(token), want: listConfirmed, wantFenced: true},
		{name: "current token revives", from: listExpired, transition: observe(token), want: listConfirmed, wantFenced: true},
		{name: "older token withdraws", from: listConfirmed, transition: observe(token - 1), want: listUnconfirmed},
		{name: "newer token withdraws", from: listConfirmed, transition: observe(token + 1), want: listUnconfirmed},
		{name: "older token leaves an expired lease", from: listExpired, transition: observe(token - 1), want: listExpired},
		{name: "raised token withdraws", from: listConfirmed, transition: (*machine).raiseToken, want: listUnconfirmed},
		{name: "raised token leaves an expired lease", from: listExpired, transition: (*machine).raiseToken, want: listExpired},
		{name: "expiry of a confirmed list", from: listConfirmed, transition: (*machine).expireLease, want: listExpired},
		{name: "expiry of an unconfirmed list", from: listUnconfirmed, transition: (*machine).expireLease, want: listExpired},
		{name: "epoch of the same owner keeps a confirmed list", from: listConfirmed, transition: reset(true), want: listUnconfirmed, wantOwnedSinceConfirmed: true},
		{name: "epoch of the same owner keeps what was kept", from: listUnconfirmed, ownedSinceConfirmed: true, transition: reset(true), want: listUnconfirmed, wantOwnedSinceConfirmed: true},
		{name: "epoch of the same owner leaves an expired lease", from: listExpired, transition: reset(true), want: listExpired},
		{name: "epoch of another owner keeps nothing", from: listConfirmed, ownedSinceConfirmed: true, transition: reset(false), want: listUnconfirmed},
		{name: "epoch of another owner renews an expired lease", from: listExpired, transition: reset(false), want: listUnconfirmed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := &machine{trust: tt.from, token: token, minToken: token, ownedSinceConfirmed: tt.ownedSinceConfirmed}
			tt.transition(m)
			if m.trust != tt.want || m.fenced != tt.wantFenced || m.ownedSinceConfirmed != tt.wantOwnedSinceConfirmed {
				t.Errorf("trust %v fenced %v kept %v, want %v %v %v", m.trust, m.fenced, m.ownedSinceConfirmed, tt.want, tt.wantFenced, tt.wantOwnedSinceConfirmed)
			}
		})
	}
}

func observe(token uint64) func(*machine) {
	return func(m *machine) { m.observeToken(token) }
}

// reset enters the epoch after that of the machine's token.
func reset(ownedBefore bool) func(*machine) {
	return func(m *machine) { m.resetForEpoch(m.token>>tokenBits+1, ownedBefore) }
}
