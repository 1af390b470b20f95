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

// Paths and limits from the section "Controller nodes -> state service" of the PROTOCOL.
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

// maxPageSize caps the requested page size, so that it fits an int on every platform. It is far
// above the number of entries that State.Range returns at most.
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

// entryResponse is the response body of a request for one key.
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
	// Slashes in a key are not escaped in the request, so the key is taken from the original
	// path. Path would normalize the key "a//b" to "a/b".
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

// handleLease renews or revokes a lease; path is the request's path without leasePrefix.
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
	timeoutMillis, timeoutErr := parseCount(args.Peek("HoldMs"))
	if sinceErr != nil || timeoutErr != nil || timeoutMillis > uint64(maxWatchTimeout.Milliseconds()) {
		replyError(ctx, fasthttp.StatusBadRequest, "Since and HoldMs must be whole numbers, HoldMs at most 60000")
		return
	}
	if !s.admit(ctx, 0) {
		return
	}
	s.watch(ctx, string(args.Peek("Starts")), since, time.Duration(timeoutMillis)*time.Millisecond)
}

// watch responds with the events of a prefix after a revision. It waits until there is one or the
// timeout has passed, in which case the response has no events.
func (s *Server) watch(ctx *fasthttp.RequestCtx, prefix string, since uint64, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	expired := timeout == 0
	for {
		state := s.published.Load()
		events, err := state.EventsSince(prefix, since)
		if err != nil { // always ErrCompacted
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

// admit reports whether a request is within the rate limits, and refuses it with status 429 if not.
func (s *Server) admit(ctx *fasthttp.RequestCtx, writes int) bool {
	if s.limiter.admit(s.clock(), writes) {
		return true
	}
	replyError(ctx, fasthttp.StatusTooManyRequests, "above the limit of requests or writes a second")
	return false
}

// execute submits a command and responds with its outcome. For outcomeDone and outcomeConflict,
// body makes the response body from the reply.
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

// abortConnection closes the connection without a response. It is used when it is unknown whether
// a command was executed, because every status would state that it was or was not, and for a watch
// that is still waiting when the server stops.
func abortConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() }) // the error concerns only this closed connection
}

// errNotWholeNumber is appended to the name of an argument in a response.
var errNotWholeNumber = errors.New("must be a whole number")

// parseCount parses a query argument that is a whole number. A missing or empty argument is 0.
func parseCount(argument []byte) (uint64, error) {
	if len(argument) == 0 {
		return 0, nil
	}
	// The number is limited to 63 bits, so that it also fits an int64.
	n, err := strconv.ParseUint(string(argument), 10, 63)
	if err != nil {
		return 0, errNotWholeNumber
	}
	return n, nil
}
