package config

import (
	"strings"
	"testing"
)

const validSettings = `{"label":"n0","area":"a","serve_on":"127.0.0.1:1","peer_listen":"127.0.0.1:2","later":1,
"siblings":[{"label":"n1","area":"a","address":"127.0.0.1:3"}],
"external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
"settings":{"teams":[{"name":"red","cpus":4,"cpus_max":8}],
"workers":{"report_s":2,"lease_s":16,"cancel_s":45},"state":{"rps":100,"write_rps":50,"value_kb":16,"txn_ops":16},
"cloud":{"rps":5,"list_lag_s":3},"resources":{"cores":0.2,"ram_mb":128,"max_sockets":1000}}}`

func TestParseAcceptsValidAndRejectsInvalidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil || s.Label != "n0" || s.Site.InitialControllers != 2 {
		t.Fatal(s, err)
	}
	if l := s.Site.Store.Lowest(); l != s.Site.Store {
		t.Fatal(l)
	}
	next, err := Parse([]byte(strings.Replace(validSettings, `"txn_ops":16`, `"txn_ops":16,"next":{"value_kb":2,"txn_ops":20}`, 1)))
	if err != nil || next.Site.Store.Lowest() != (StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 2, MaxTxnOps: 16}) {
		t.Fatal(next, err)
	}
	for change, field := range map[[2]string]string{
		{`"label":"n0"`, `"label":""`}:                     "label",
		{`"serve_on":"127.0.0.1:1"`, `"serve_on":"here"`}:  "serve_on",
		{`"label":"n1"`, `"label":"n0"`}:                   "siblings[0].label",
		{`"lease_s":16`, `"lease_s":3`}:                    "settings.workers.lease_s",
		{`"cancel_s":45`, `"cancel_s":18`}:                 "settings.workers.cancel_s",
		{`"write_rps":50`, `"write_rps":-1`}:               "settings.state.write_rps",
		{`"cpus":4,"cpus_max":8`, `"cpus":9,"cpus_max":8`}: "settings.teams[0]",
		{`"txn_ops":16`, `"txn_ops":16,"next":{"rps":-1}`}: "settings.state.next",
		{`"ram_mb":128`, `"ram_mb":"much"`}:                "ram_mb",
	} {
		text := strings.Replace(validSettings, change[0], change[1], 1)
		if text == validSettings {
			t.Fatalf("text to replace is not in validSettings: %s", change[0])
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("settings with %s: got error %v, want one that names the field", change[1], err)
		}
	}
}

func TestParsePolicyAcceptsValidAndRejectsInvalidScripts(t *testing.T) {
	p, err := ParsePolicy("p.star", []byte("_days = 3\ndef half(x):\n    return x / 2\nspot_share = half(1)\nquarantine_jobs = _days\n"))
	if err != nil || p.SpotShare != 0.5 || p.QuarantineJobs != 3 || p.AgingLeases != DefaultPolicy().AgingLeases {
		t.Fatal(p, err)
	}
	for src, want := range map[string]string{
		"\nspot_share = 2":                           "p.star:2: spot_share",
		"x = 1":                                      "p.star:1: x is not a policy variable",
		"spot_share = (":                             "p.star:1",
		"y = 1\nspot_share = 1 // 0":                 "p.star:2",
		"while True:\n    pass":                      "p.star:",
		"idle_boots = 'long'":                        "p.star:1: idle_boots",
		"aging_leases = 3\naging_leases = -1":        "p.star:2: aging_leases",
		"load('other.star', 'z')\nspot_share = 0.25": "p.star:1",
	} {
		if _, err := ParsePolicy("p.star", []byte(src)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("script %q: got error %v, want one with the position and the problem", src, err)
		}
	}
}
