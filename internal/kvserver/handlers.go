package kvserver

import (
	"errors"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Paths of the PROTOCOL's "Controller nodes -> state service".
const (
	commitPath      = "/commit"
	rangePath       = "/store"
	keyPrefix       = "/store/"
	leasesPath      = "/holds"
	leasePrefix     = "/holds/"
	renewSuffix     = "/extend"
	watchPath       = "/follow"
	maxWatchTimeout = time.Minute
)

// maxPageSize keeps the size of a page an int everywhere. It is far above what a page
// may hold.
const maxPageSize = 1 << 20

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == commitPath && ctx.IsPost():
		s.handleCommit(ctx)
	case path == rangePath && ctx.IsGet():
		s.handleRange(ctx)
	case strings.HasPrefix(path, keyPrefix) && ctx.IsGet():
		s.handleGet(ctx)
	case path == leasesPath && ctx.IsPost():
		s.handleGrantLease(ctx)
	case strings.HasPrefix(path, leasePrefix):
		s.handleLease(ctx, strings.TrimPrefix(path, leasePrefix))
	case path == watchPath && ctx.IsGet():
		s.handleWatch(ctx)
	default:
		replyError(ctx, fasthttp.StatusNotFound, "no such page")
	}
}

func (s *Server) handleCommit(ctx *fasthttp.RequestCtx) {
	var txn kvstore.Txn
	if err := protocol.Decode(ctx.PostBody(), &txn); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := txn.Validate(s.settings.Limits); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if !s.admit(ctx, len(txn.Then)) {
		return
	}
	s.execute(ctx, commitTxn{txn: &txn}, func(r reply) any {
		return protocol.TransactionResult{Failed: r.txn.FailedKeys, Revision: r.txn.Revision}
	})
}

func (s *Server) handleRange(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := parseCount(args.Peek("Page"))
	if err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "Page "+err.Error())
		return
	}
	if !s.admit(ctx, 0) {
		return
	}
	prefix, after := string(args.Peek("Starts")), string(args.Peek("Since"))
	httpserver.Reply(ctx, fasthttp.StatusOK, s.State().Range(prefix, after, int(min(limit, maxPageSize))))
}

// entryResponse answers a request for one key.
type entryResponse struct {
	Key     string       `msgpack:"Key"`
	Value   protocol.Raw `msgpack:"Data"`
	Version uint64       `msgpack:"Stamp"`
	LeaseID uint64       `msgpack:"Permit,omitempty"`
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx) {
	if !s.admit(ctx, 0) {
		return
	}
	// Slashes are not escaped, so the key is the path as it was sent; Path would make
	// "a//b" into "a/b".
	key, err := url.PathUnescape(strings.TrimPrefix(string(ctx.URI().PathOriginal()), keyPrefix))
	if err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, "the key is not well escaped")
		return
	}
	state := s.State()
	entry, ok := state.Get(key)
	if !ok {
		httpserver.Reply(ctx, fasthttp.StatusNotFound, protocol.TransactionResult{Revision: state.Revision})
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, entryResponse{Key: key, Value: entry.Value, Version: entry.Version, LeaseID: entry.LeaseID})
}

func (s *Server) handleGrantLease(ctx *fasthttp.RequestCtx) {
	var request protocol.LeaseRequest
	if err := protocol.Decode(ctx.PostBody(), &request); err != nil || request.TTLMillis == 0 {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed lease")
		return
	}
	if !s.admit(ctx, 0) {
		return
	}
	s.execute(ctx, grantLease{ttlMillis: request.TTLMillis}, func(r reply) any {
		return protocol.LeaseResponse{Lease: r.leaseID}
	})
}

// handleLease renews or revokes a lease, given the path after the prefix of leases.
func (s *Server) handleLease(ctx *fasthttp.RequestCtx, path string) {
	number, renew := strings.CutSuffix(path, renewSuffix)
	leaseID, err := strconv.ParseUint(number, 10, 64)
	validMethod := renew && ctx.IsPost() || !renew && ctx.IsDelete()
	if err != nil || leaseID == 0 || !validMethod {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed lease")
		return
	}
	if !s.admit(ctx, 0) {
		return
	}
	var c command = revokeLease{leaseID: leaseID}
	if renew {
		c = renewLease{leaseID: leaseID}
	}
	s.execute(ctx, c, func(reply) any { return struct{}{} })
}

func (s *Server) handleWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	since, sinceErr := parseCount(args.Peek("Since"))
	holdMillis, holdErr := parseCount(args.Peek("HoldMs"))
	if sinceErr != nil || holdErr != nil || holdMillis > uint64(maxWatchTimeout.Milliseconds()) {
		replyError(ctx, fasthttp.StatusBadRequest, "Since and HoldMs must be whole numbers, HoldMs at most 60000")
		return
	}
	if !s.admit(ctx, 0) {
		return
	}
	s.watch(ctx, string(args.Peek("Starts")), since, time.Duration(holdMillis)*time.Millisecond)
}

// watch answers with the events of a prefix after a revision, as soon as there are any or
// the time to hold the answer back is over.
func (s *Server) watch(ctx *fasthttp.RequestCtx, prefix string, since uint64, hold time.Duration) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	expired := hold == 0
	for {
		state := s.published.Load()
		events, err := state.EventsSince(prefix, since)
		if err != nil { // ErrCompacted, the only one
			replyError(ctx, fasthttp.StatusGone, "Since is too old")
			return
		}
		if len(events.Events) > 0 || expired {
			httpserver.Reply(ctx, fasthttp.StatusOK, events)
			return
		}
		select {
		case <-state.superseded:
		case <-timer.C:
			expired = true
		case <-s.stopped:
			abortConnection(ctx)
			return
		}
	}
}

// admit answers a request that is above the limits and reports whether it is within them.
func (s *Server) admit(ctx *fasthttp.RequestCtx, writes int) bool {
	if s.limiter.admit(s.clock(), writes) {
		return true
	}
	replyError(ctx, fasthttp.StatusTooManyRequests, "above the limit of requests or writes a second")
	return false
}

// execute submits a command and answers with its outcome; body is the answer to a command
// that is done, or in conflict.
func (s *Server) execute(ctx *fasthttp.RequestCtx, c command, body func(reply) any) {
	switch r := s.submit(c); r.outcome {
	case outcomeDone:
		httpserver.Reply(ctx, fasthttp.StatusOK, body(r))
	case outcomeConflict:
		httpserver.Reply(ctx, fasthttp.StatusConflict, body(r))
	case outcomeInvalid:
		replyError(ctx, fasthttp.StatusBadRequest, r.err.Error())
	case outcomeNotFound:
		replyError(ctx, fasthttp.StatusNotFound, r.err.Error())
	case outcomeUnavailable:
		replyError(ctx, fasthttp.StatusServiceUnavailable, r.err.Error())
	case outcomeUnknown:
		abortConnection(ctx)
	}
}

func replyError(ctx *fasthttp.RequestCtx, status int, reason string) {
	httpserver.Reply(ctx, status, protocol.ErrorResponse{Error: reason})
}

// abortConnection closes the connection without an answer: whether the request was
// executed is open, and any status would say something about it.
func abortConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() }) // there is nobody to tell
}

// errNotWholeNumber is told after the name of an argument.
var errNotWholeNumber = errors.New("must be a whole number")

// parseCount reads an argument that is a number; one that is not there is 0.
func parseCount(argument []byte) (uint64, error) {
	if len(argument) == 0 {
		return 0, nil
	}
	// 63 bits, so that it fits an int64 too.
	n, err := strconv.ParseUint(string(argument), 10, 63)
	if err != nil {
		return 0, errNotWholeNumber
	}
	return n, nil
}
