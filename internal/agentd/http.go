package agentd

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// heartbeatTimeout is the protocol's: a later response has no effect.
const heartbeatTimeout = 4 * time.Second

// newServer makes the server that controllers send commands to. Their connections are
// kept for a minute; a response is small and must not hold up the server.
func (d *Daemon) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               d.handleRequest,
		Name:                  "chalk-agent",
		MaxRequestBodySize:    protocol.MaxBody,
		IdleTimeout:           time.Minute,
		ReadTimeout:           time.Minute,
		WriteTimeout:          10 * time.Second,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
}

func (d *Daemon) handleRequest(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/do" && ctx.IsPost():
		d.handleCommands(ctx)
	case path == "/inspect" && ctx.IsGet():
		d.replyFromAgent(ctx, func(id int) agent.Event { return agent.StatusRequested{ID: id} })
	default:
		httpserver.Reply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"})
	}
}

func (d *Daemon) handleCommands(ctx *fasthttp.RequestCtx) {
	var request protocol.DirectCommands
	if err := protocol.Decode(ctx.PostBody(), &request); err != nil || request.Token == 0 || request.Session == 0 {
		httpserver.Reply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: "Baton or Shift is missing"})
		return
	}
	d.replyFromAgent(ctx, func(id int) agent.Event { return agent.CommandsReceived{ID: id, Request: request} })
}

// replyFromAgent posts a request's event and answers the request with the agent's reply.
func (d *Daemon) replyFromAgent(ctx *fasthttp.RequestCtx, event func(id int) agent.Event) {
	id, replies := d.expectReply()
	d.post(event(id))
	select {
	case r := <-replies:
		httpserver.Reply(ctx, r.Status, r.Heartbeat)
	case <-d.ctx.Done():
		httpserver.Reply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "the machine is going"})
	}
}

// expectReply registers a new request.
func (d *Daemon) expectReply() (id int, replies <-chan agent.StatusReply) {
	ch := make(chan agent.StatusReply, 1) // the loop never waits for the request
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	d.pendingReplies[d.nextID] = ch
	return d.nextID, ch
}

// deliverReply hands the agent's reply to the request that waits for it.
func (d *Daemon) deliverReply(r agent.StatusReply) {
	d.mu.Lock()
	ch := d.pendingReplies[r.ID]
	delete(d.pendingReplies, r.ID)
	d.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// sendHeartbeat sends a heartbeat and posts how that ended.
func (d *Daemon) sendHeartbeat(e agent.SendHeartbeat) {
	var reply protocol.HeartbeatReply
	status := d.rpc.Call(fasthttp.MethodPost, d.settings.ControllerAddrs[e.Controller], "/v1/report", e.Heartbeat, &reply,
		heartbeatTimeout, fasthttp.StatusOK, fasthttp.StatusMisdirectedRequest)
	d.post(agent.HeartbeatCompleted{Status: status, Response: reply.HeartbeatResponse, Redirect: reply.Redirect})
}
