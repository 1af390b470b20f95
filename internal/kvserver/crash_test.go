package kvserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
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

// Environment variables that TestMain reads.
const (
	stateFileVariable     = "CHALK_TEST_STATE" // path of the state file; if set, the test binary runs the service
	fileSizeLimitVariable = "CHALK_TEST_FSIZE" // largest size of a file in bytes, which simulates the size of a disk
)

// TestMain runs the service instead of the tests if the environment names a state file. The tests
// start this binary in that way to have a service process that they can kill.
func TestMain(m *testing.M) {
	path := os.Getenv(stateFileVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, runService(path))
	os.Exit(1)
}

// runService serves a state file and prints the address on which it listens. It returns only with
// an error.
func runService(path string) error {
	if limit := os.Getenv(fileSizeLimitVariable); limit != "" {
		if err := limitFileSize(limit); err != nil {
			return err
		}
	}
	file, state, err := kvfile.Open(path)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	return New(unthrottledSettings(), state, file).Serve(context.Background(), listener)
}

func limitFileSize(limit string) error {
	size, err := strconv.ParseUint(limit, 10, 64)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ) // otherwise a write above the limit kills the process instead of failing
	return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: size})
}

// serviceProcess is a service that runs in its own process.
type serviceProcess struct {
	cmd     *exec.Cmd
	address string
}

// startProcess starts a service process and waits until it listens. The process is killed when the
// test ends.
func startProcess(t *testing.T, path string, environment ...string) *serviceProcess {
	t.Helper()
	p := &serviceProcess{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), stateFileVariable+"="+path)
	p.cmd.Env = append(p.cmd.Env, environment...)
	p.cmd.Stderr = os.Stderr
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatalf("read the address of the started service: %v", err)
	}
	p.address = strings.TrimSpace(line)
	return p
}

// kill kills the process with SIGKILL and waits until it has exited.
func (p *serviceProcess) kill() {
	_ = p.cmd.Process.Kill() // the process may have been killed already
	_ = p.cmd.Wait()         // the error only reports the kill
}

// killAndAwaitLock kills the process and waits until the lock of the state file is free. The
// service and kvfile.Verify wait for the lock only briefly, so they would fail on a lock that
// outlives its process. That happens because Linux keeps the memory mappings of a killed process,
// and with them the file and its lock, while another process such as ps reads its entries in
// /proc. On a busy machine that took longer than the exit of the process itself.
func (p *serviceProcess) killAndAwaitLock(t *testing.T, path string) {
	t.Helper()
	p.kill()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() //nolint:errcheck // the file was only locked, not written
	for deadline := time.Now().Add(maxLockDelay); ; time.Sleep(time.Millisecond) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(deadline) {
			t.Fatalf("lock the state file of a killed service: %v", err)
		}
	}
}

// maxLockDelay is how long the lock of a killed process may stay held before the test fails.
const maxLockDelay = 10 * time.Second

// pairWriter writes increasing numbers to a pair of keys; each transaction sets both keys to one
// number.
type pairWriter struct {
	name         string
	acknowledged int // the highest number whose write got a response with status 200
}

func (w *pairWriter) key(side string) string { return w.name + "/" + side }

// run writes until a write fails, and adds the number of acknowledged writes to total.
func (w *pairWriter) run(address string, total *atomic.Int64) {
	const timeout = 20 * time.Second
	client := rpc.New(1, timeout)
	for n := w.acknowledged + 1; ; n++ {
		txn := protocol.Transaction{
			If:   []protocol.Guard{},
			Then: []protocol.Operation{{Put: w.key("a"), Value: n}, {Put: w.key("b"), Value: n}},
		}
		if client.Call("POST", address, "/commit", txn, nil, timeout) != 200 {
			return
		}
		w.acknowledged = n
		total.Add(1)
	}
}

// verify checks that both keys hold the same number, which must be the last acknowledged one or the
// one after it, whose response may have been lost. The next run continues from that number.
func (w *pairWriter) verify(t *testing.T, state *kvstore.State) {
	t.Helper()
	a, b := storedNumber(t, state, w.key("a")), storedNumber(t, state, w.key("b"))
	if a != b || a < w.acknowledged || a > w.acknowledged+1 {
		t.Fatalf("%s: keys hold %d and %d, the last acknowledged number is %d", w.name, a, b, w.acknowledged)
	}
	w.acknowledged = a
}

// storedNumber returns the number stored under a key, or 0 if the key does not exist.
func storedNumber(t *testing.T, state *kvstore.State, key string) int {
	t.Helper()
	entry, ok := state.Get(key)
	if !ok {
		return 0
	}
	var n int
	if err := protocol.Decode(entry.Value, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// When the service is killed repeatedly while clients write, no acknowledged write is lost and no
// transaction is applied partially. Each transaction sets a pair of keys to one number, so a
// partial one leaves two different numbers.
func TestAcknowledgedWritesSurviveKill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	var writers [8]pairWriter
	for i := range writers {
		writers[i].name = fmt.Sprintf("c/%d", i)
	}
	for round := range 6 {
		process := startProcess(t, path)
		var running sync.WaitGroup
		var total atomic.Int64
		for i := range writers {
			running.Go(func() { writers[i].run(process.address, &total) })
		}
		minWrites := int64(20 + round*25)
		for deadline := time.Now().Add(60 * time.Second); total.Load() < minWrites && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		process.killAndAwaitLock(t, path)
		running.Wait()
		if total.Load() == 0 {
			t.Fatal("no write was acknowledged before the kill")
		}
		state, err := kvfile.Verify(path)
		if err != nil {
			t.Fatalf("verify the state file after a kill: %v", err)
		}
		for i := range writers {
			writers[i].verify(t, state)
		}
	}
}

// While the disk is full, writes get status 503, reads still succeed, and no acknowledged write is
// lost. Once there is space again, writes succeed. A limit of the file size of 2 MiB simulates the
// full disk.
func TestDiskFullReturnsUnavailable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	process := startProcess(t, path, fileSizeLimitVariable+"=2097152")
	client := newTestClient(process.address, 2)
	const maxWrites = 1000
	written, status := 0, 200
	for ; written < maxWrites; written++ {
		if status = client.putLarge(written); status != 200 {
			break
		}
	}
	if status != 503 || written < 20 {
		t.Fatalf("after %d writes with status 200, a write got status %d; want at least 20 writes, then 503", written, status)
	}
	var page protocol.KeyPage
	if got := client.call("GET", "/store?Starts=c/&Page=1000", nil, &page); got != 200 || len(page.Items) == 0 {
		t.Fatalf("a read on a full disk got status %d with %d items, want 200 with at least one", got, len(page.Items))
	}
	if got := client.putLarge(written); got != 503 {
		t.Fatalf("a second write on a full disk got status %d, want 503", got)
	}
	process.killAndAwaitLock(t, path)
	process = startProcess(t, path)
	client = newTestClient(process.address, 2)
	if state, err := kvfile.Verify(path + ".none"); state != nil || err == nil {
		t.Fatal("Verify of a missing file returned a state or no error")
	}
	if found := client.countKeys(t, "c/"); found != written {
		t.Fatalf("the store holds %d keys, %d writes were acknowledged", found, written)
	}
	if got := client.putLarge(written); got != 200 {
		t.Fatalf("a write after the disk had space again got status %d, want 200", got)
	}
}

// putLarge writes a value of 12 KiB to key number n and returns the HTTP status.
func (c *testClient) putLarge(n int) int {
	op := protocol.Operation{Put: fmt.Sprintf("c/%05d", n), Value: strings.Repeat("y", 12<<10)}
	txn := protocol.Transaction{If: []protocol.Guard{}, Then: []protocol.Operation{op}}
	return c.rpc.Call("POST", c.address, "/commit", txn, nil, 2*time.Second)
}

// countKeys counts the keys with a prefix by reading all pages of the list.
func (c *testClient) countKeys(t *testing.T, prefix string) int {
	t.Helper()
	count, after := 0, ""
	for {
		var page protocol.KeyPage
		path := fmt.Sprintf("/store?Starts=%s&Page=1000&Since=%s", prefix, after)
		if got := c.call("GET", path, nil, &page); got != 200 {
			t.Fatalf("a page of keys got status %d, want 200", got)
		}
		count += len(page.Items)
		if !page.More {
			return count
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
