package kvserver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

var generousSettings = Settings{Limits: kvstore.Limits{MaxValueKiB: 16, MaxTxnOps: 16}, RequestsPerSecond: 1e6, WritesPerSecond: 1e6, MaxBatch: 256}

// TestMain lets this program be the service whose process the tests kill.
func TestMain(m *testing.M) {
	path := os.Getenv("CHALK_TEST_STATE")
	if path == "" {
		os.Exit(m.Run())
	}
	if limit := os.Getenv("CHALK_TEST_FSIZE"); limit != "" {
		var n uint64
		fmt.Sscan(limit, &n)
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
	}
	v, s, err := kvfile.Open(path)
	if err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	err = New(generousSettings, s, v).Serve(context.Background(), l)
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

func startProcess(t *testing.T, path string, env ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "CHALK_TEST_STATE="+path)
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("the service does not start: %v", err)
	}
	return cmd, strings.TrimSpace(addr)
}

// The process is killed over and over while clients write. No answered write is lost,
// and no transaction is there by half: each sets a pair of keys to one number.
func TestAcknowledgedWritesSurviveKill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	const clients = 8
	var answered [clients]int
	for round := range 6 {
		cmd, addr := startProcess(t, path)
		var wg sync.WaitGroup
		var total atomic.Int64
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				call := rpc.New(1, 20*time.Second)
				for n := answered[c] + 1; ; n++ {
					txn := protocol.Transaction{If: []protocol.Guard{}, Then: []protocol.Operation{
						{Put: fmt.Sprintf("c/%d/a", c), Value: n}, {Put: fmt.Sprintf("c/%d/b", c), Value: n}}}
					if call.Call("POST", addr, "/commit", txn, nil, 20*time.Second) != 200 {
						return
					}
					answered[c] = n
					total.Add(1)
				}
			}()
		}
		for deadline := time.Now().Add(60 * time.Second); total.Load() < int64(20+round*25) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		cmd.Process.Kill()
		wg.Wait()
		cmd.Wait()
		if total.Load() == 0 {
			t.Fatal("nothing was written")
		}
		s, err := kvfile.Verify(path)
		if err != nil {
			t.Fatalf("after a kill: %v", err)
		}
		for c := range clients {
			var a, b int
			for key, to := range map[string]*int{"a": &a, "b": &b} {
				if e, ok := s.Get(fmt.Sprintf("c/%d/%s", c, key)); ok {
					if err := protocol.Decode(e.Value, to); err != nil {
						t.Fatal(err)
					}
				}
			}
			if a != b || a < answered[c] || a > answered[c]+1 {
				t.Fatalf("client %d: keys hold %d and %d, %d was answered", c, a, b, answered[c])
			}
			answered[c] = a
		}
	}
}

// A full disk is answered with 503 and loses nothing; reads and followers go on, and
// once there is space, writes do too.
func TestDiskFullReturnsUnavailable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	cmd, addr := startProcess(t, path, "CHALK_TEST_FSIZE=2097152")
	call := rpc.New(2, time.Second)
	write := func(n int) int {
		txn := protocol.Transaction{If: []protocol.Guard{}, Then: []protocol.Operation{{Put: fmt.Sprintf("c/%05d", n), Value: strings.Repeat("y", 12<<10)}}}
		return call.Call("POST", addr, "/commit", txn, nil, 2*time.Second)
	}
	n, status := 0, 200
	for ; status == 200 && n < 1000; n++ {
		status = write(n)
	}
	n--
	if status != 503 || n < 20 {
		t.Fatalf("write %d was answered %d", n, status)
	}
	var items protocol.KeyPage
	if s := call.Call("GET", addr, "/store?Starts=c/&Page=1000", nil, &items, time.Second, 200); s != 200 || len(items.Items) == 0 {
		t.Fatalf("a read is answered %d with %d items", s, len(items.Items))
	}
	if s := write(n); s != 503 {
		t.Fatalf("a second write is answered %d", s)
	}
	cmd.Process.Kill()
	cmd.Wait()
	_, addr = startProcess(t, path)
	s, err := kvfile.Verify(path + ".none")
	if s != nil || err == nil {
		t.Fatal("a file that is not there was read")
	}
	seen, since := 0, ""
	for {
		if call.Call("GET", addr, "/store?Starts=c/&Page=1000&Since="+since, nil, &items, time.Second, 200) != 200 {
			t.Fatal("no page")
		}
		seen += len(items.Items)
		if !items.More {
			break
		}
		since = items.Items[len(items.Items)-1].Key
	}
	if seen != n {
		t.Fatalf("%d keys are there, %d were answered", seen, n)
	}
	if s := write(n); s != 200 {
		t.Fatalf("with space again, a write is answered %d", s)
	}
}

// The service speaks the PROTOCOL, as the controllers' client and a few malformed
// requests see it.
func TestHTTPProtocol(t *testing.T) {
	v, s, err := kvfile.Open(filepath.Join(t.TempDir(), "state.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set := generousSettings
	set.WritesPerSecond = 40
	srv := New(set, s, v)
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- srv.Serve(ctx, l) }()
	defer func() { stop(); <-over }()
	addr := l.Addr().String()
	call := rpc.New(8, time.Second)
	status := func(method, path string, body any) int { return call.Call(method, addr, path, body, nil, time.Second) }
	type m map[string]any
	var lease protocol.LeaseResponse
	if call.Call("POST", addr, "/holds", protocol.LeaseRequest{TTLMillis: 3000}, &lease, time.Second, 200) != 200 || lease.Lease == 0 {
		t.Fatal("no lease")
	}
	followed := make(chan protocol.WatchResponse, 1)
	go func() {
		var e protocol.WatchResponse
		call.Call("GET", addr, "/follow?Starts=c/&Since=0&HoldMs=5000", nil, &e, 8*time.Second, 200)
		followed <- e
	}()
	for _, c := range []struct {
		method, path string
		body         any
		want         int
	}{
		{"POST", "/commit", m{"Guards": []any{}, "Then": []any{m{"Set": "x/y", "Data": 1}}}, 200},
		{"POST", "/commit", m{"Guards": []any{m{"Key": "x/y", "Stamp": 0}}, "Then": []any{m{"Set": "x/y", "Data": 1}}}, 409},
		{"POST", "/commit", m{"Guards": []any{m{"Key": "x/y", "Stamp": 1}}}, 200},
		{"POST", "/commit", m{"Then": []any{m{"Set": "c/a b", "Data": 1}}}, 400},
		{"POST", "/commit", m{"Then": []any{m{"Set": "x", "Data": 1, "Permit": 77}}}, 400},
		{"POST", "/commit", "text", 400},
		{"POST", "/commit", m{"Then": []any{m{"Set": "c/n", "Data": strings.Repeat("v", 17<<10)}}}, 400},
		{"POST", "/commit", m{"Then": []any{m{"Set": "c/n", "Data": 1, "Permit": lease.Lease}}}, 200},
		{"GET", "/store/c/n", nil, 200},
		{"GET", "/store/c/m", nil, 404},
		{"POST", fmt.Sprintf("/holds/%d/extend", lease.Lease), nil, 200},
		{"POST", "/holds/99/extend", nil, 404},
		{"POST", "/holds", protocol.LeaseRequest{TTLMillis: 99}, 400},
		{"GET", "/follow?HoldMs=60001", nil, 400},
		{"DELETE", "/holds/99", nil, 404},
		{"PUT", "/store/x", nil, 404},
	} {
		if got := status(c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %v: %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	if e := <-followed; len(e.Events) != 1 || e.Events[0].Put != "c/n" {
		t.Errorf("the follower heard %+v", e)
	}
	// The lease ends by itself and is followed as a deletion.
	var e protocol.WatchResponse
	call.Call("GET", addr, fmt.Sprintf("/follow?Starts=c/&Since=%d&HoldMs=5000", srv.State().Revision), nil, &e, 8*time.Second, 200)
	if len(e.Events) != 1 || e.Events[0].Delete != "c/n" {
		t.Errorf("the end of the lease is told as %+v", e)
	}
	limited := 0
	for i := range 60 {
		if status("POST", "/commit", m{"Then": []any{m{"Set": fmt.Sprint("z", i), "Data": i}}}) == 429 {
			limited++
		}
	}
	if limited == 0 {
		t.Error("no write was above the limit")
	}
}
