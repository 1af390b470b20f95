// Package httpserver is what the HTTP servers beside the controller have in common: their
// life and the encoding of their responses.
//
// It owns no server and may not know what is served: listeners, timeouts and handlers are
// its callers'.
package httpserver

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Serve serves requests on a listener until ctx ends, and then returns ctx's error. It
// closes the listener; requests that are being handled are not waited for.
func Serve(ctx context.Context, srv *fasthttp.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })() // srv.Serve returns then
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Reply responds to a request with a status and a body in MessagePack.
func Reply(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	ctx.Response.SetBodyRaw(protocol.Encode(body))
}
