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

// What TestMain reads from the environment.
const (
	stateFileVariable     = "CHALK_TEST_STATE" // the state file of the service that it is to be
	fileSizeLimitVariable = "CHALK_TEST_FSIZE" // the bytes that a file may have, which stand for a disk
)

// TestMain lets this program be the service whose process the tests kill.
func TestMain(m *testing.M) {
	path := os.Getenv(stateFileVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	fmt.Fprintln(os.Stderr, runService(path))
	os.Exit(1)
}

// runService serves a state file, prints its address, and returns only for an error.
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
	signal.Ignore(syscall.SIGXFSZ)
	return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: size})
}

// serviceProcess is a service in a process of its own.
type serviceProcess struct {
	cmd     *exec.Cmd
	address string
}

// startProcess starts a service, which ends with the test at the latest.
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
		t.Fatalf("the service does not start: %v", err)
	}
	p.address = strings.TrimSpace(line)
	return p
}

// kill ends the process without a chance to do anything, and waits for its end.
func (p *serviceProcess) kill() {
	_ = p.cmd.Process.Kill() // it may have been killed before
	_ = p.cmd.Wait()         // says that it was killed
}

// killAndAwaitLock kills the process and waits until the state file's lock is free, which the
// service and kvfile.Verify wait for only briefly.
//
// Guards against a lock that outlives its process: Linux keeps the mappings of a killed process,
// and with them the file and its lock, for as long as anything reads the process's entries in
// /proc, as ps does. On a busy machine that took longer than the end of the process itself.
func (p *serviceProcess) killAndAwaitLock(t *testing.T, path string) {
	t.Helper()
	p.kill()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() //nolint:errcheck // it was only locked
	for deadline := time.Now().Add(maxLockDelay); ; time.Sleep(time.Millisecond) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) || time.Now().After(deadline) {
			t.Fatalf("the lock of a killed service: %v", err)
		}
	}
}

// maxLockDelay bounds how long the lock of a killed process may outlive it.
const maxLockDelay = 10 * time.Second

// pairWriter writes ever higher numbers to a pair of keys, with one transaction each.
type pairWriter struct {
	name         string
	acknowledged int // the last number that was answered
}

func (w *pairWriter) key(side string) string { return w.name + "/" + side }

// run writes until a write is not answered.
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

// verify checks that both keys hold the last number that was answered or the one after it,
// and goes on from there.
func (w *pairWriter) verify(t *testing.T, state *kvstore.State) {
	t.Helper()
	a, b := storedNumber(t, state, w.key("a")), storedNumber(t, state, w.key("b"))
	if a != b || a < w.acknowledged || a > w.acknowledged+1 {
		t.Fatalf("%s: keys hold %d and %d, %d was answered", w.name, a, b, w.acknowledged)
	}
	w.acknowledged = a
}

// storedNumber is the number under a key, 0 if there is none.
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

// The process is killed over and over while clients write. No answered write is lost,
// and no transaction is there by half: each sets a pair of keys to one number.
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
		enough := int64(20 + round*25)
		for deadline := time.Now().Add(60 * time.Second); total.Load() < enough && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		process.killAndAwaitLock(t, path)
		running.Wait()
		if total.Load() == 0 {
			t.Fatal("nothing was written")
		}
		state, err := kvfile.Verify(path)
		if err != nil {
			t.Fatalf("after a kill: %v", err)
		}
		for i := range writers {
			writers[i].verify(t, state)
		}
	}
}

// A full disk is answered with 503 and loses nothing; reads go on, and once there is
// space, writes do too.
func TestDiskFullReturnsUnavailable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.db")
	process := startProcess(t, path, fileSizeLimitVariable+"=2097152")
	client := newTestClient(process.address, 2)
	const mostWrites = 1000
	written, status := 0, 200
	for ; written < mostWrites; written++ {
		if status = client.putLarge(written); status != 200 {
			break
		}
	}
	if status != 503 || written < 20 {
		t.Fatalf("write %d was answered %d", written, status)
	}
	var page protocol.KeyPage
	if got := client.call("GET", "/store?Starts=c/&Page=1000", nil, &page); got != 200 || len(page.Items) == 0 {
		t.Fatalf("a read is answered %d with %d items", got, len(page.Items))
	}
	if got := client.putLarge(written); got != 503 {
		t.Fatalf("a second write is answered %d", got)
	}
	process.killAndAwaitLock(t, path)
	process = startProcess(t, path)
	client = newTestClient(process.address, 2)
	if state, err := kvfile.Verify(path + ".none"); state != nil || err == nil {
		t.Fatal("a file that is not there was read")
	}
	if found := client.countKeys(t, "c/"); found != written {
		t.Fatalf("%d keys are there, %d were answered", found, written)
	}
	if got := client.putLarge(written); got != 200 {
		t.Fatalf("with space again, a write is answered %d", got)
	}
}

// putLarge writes a value of 12 KiB under a key with a number and returns the status.
func (c *testClient) putLarge(n int) int {
	op := protocol.Operation{Put: fmt.Sprintf("c/%05d", n), Value: strings.Repeat("y", 12<<10)}
	txn := protocol.Transaction{If: []protocol.Guard{}, Then: []protocol.Operation{op}}
	return c.rpc.Call("POST", c.address, "/commit", txn, nil, 2*time.Second)
}

// countKeys counts the keys with a prefix, page after page.
func (c *testClient) countKeys(t *testing.T, prefix string) int {
	t.Helper()
	count, after := 0, ""
	for {
		var page protocol.KeyPage
		path := fmt.Sprintf("/store?Starts=%s&Page=1000&Since=%s", prefix, after)
		if got := c.call("GET", path, nil, &page); got != 200 {
			t.Fatalf("a page is answered %d", got)
		}
		count += len(page.Items)
		if !page.More {
			return count
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
