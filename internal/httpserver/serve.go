// Package httpserver is what the HTTP servers beside the controller have in common.
package httpserver

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Until answers on a listener until ctx ends, and then returns ctx's error.
func Until(ctx context.Context, srv *fasthttp.Server, l net.Listener) error {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	err := srv.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Reply answers a request in MessagePack.
func Reply(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	ctx.Response.SetBodyRaw(protocol.Encode(body))
}
