// Package httpserver has what the HTTP servers other than the controller's have in common: how they are
// started and stopped, and the encoding of their responses.
//
// It owns no server and may not know what is served: listeners, timeouts and handlers belong to its
// callers.
package httpserver

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Serve serves requests on a listener until ctx ends, and then returns ctx's error. It closes the
// listener and doesn't wait for requests that are still being handled.
func Serve(ctx context.Context, srv *fasthttp.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })() // makes srv.Serve return
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Reply responds to a request with a status and a body, which it encodes as MessagePack. It panics if
// the body has a type that cannot be encoded.
func Reply(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	ctx.Response.SetBodyRaw(protocol.Encode(body))
}
