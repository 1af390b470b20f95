package engine

import (
	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// NoResponse is the status of a call that got no complete response.
const NoResponse = rpc.NoResponse

// CommitOutcome decodes the status of the state service's response to a transaction.
func CommitOutcome(status int) core.CommitOutcome {
	switch status {
	case NoResponse:
		return core.CommitUnknown
	case fasthttp.StatusOK:
		return core.Committed
	case fasthttp.StatusConflict:
		return core.CommitConflict
	case fasthttp.StatusBadRequest:
		return core.CommitRejected
	case fasthttp.StatusTooManyRequests:
		return core.CommitThrottled
	default:
		return core.CommitUnavailable
	}
}

// LeaseOutcome decodes the status of the state service's response to a request or a renewal of a
// lease.
func LeaseOutcome(status int) core.LeaseOutcome {
	switch status {
	case NoResponse:
		return core.LeaseUnknown
	case fasthttp.StatusOK:
		return core.LeaseGranted
	case fasthttp.StatusNotFound:
		return core.LeaseExpired
	default:
		return core.LeaseRefused
	}
}

// WatchOutcome decodes the status of the state service's response to a watch or a barrier.
func WatchOutcome(status int) core.WatchOutcome {
	switch status {
	case NoResponse:
		return core.WatchUnknown
	case fasthttp.StatusOK:
		return core.WatchServed
	case fasthttp.StatusGone:
		return core.WatchCompacted
	case fasthttp.StatusTooManyRequests:
		return core.WatchThrottled
	default:
		return core.WatchUnavailable
	}
}

// DirectOutcome decodes the status of a worker's response to commands that were sent to it
// directly.
func DirectOutcome(status int) core.DirectOutcome {
	switch status {
	case NoResponse:
		return core.DirectUnknown
	case fasthttp.StatusOK:
		return core.DirectExecuted
	case fasthttp.StatusConflict:
		return core.DirectFenced
	default:
		return core.DirectRefused
	}
}

// CloudOutcome decodes the status of the cloud's response to any call.
func CloudOutcome(status int) core.CloudOutcome {
	switch status {
	case NoResponse:
		return core.CloudUnknown
	case fasthttp.StatusOK:
		return core.CloudDone
	case fasthttp.StatusBadRequest:
		return core.CloudRejected
	case fasthttp.StatusServiceUnavailable:
		return core.CloudUnavailable
	default:
		return core.CloudThrottled
	}
}
