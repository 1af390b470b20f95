package stand

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// Users is a stand-in for users that submit jobs and poll them by the protocol, at one controller
// after another. It uses no depot.
type Users struct {
	site   *Site
	client *rpc.Client
	node   int
}

// NewUsers returns users of a site.
func NewUsers(s *Site) *Users { return &Users{site: s, client: rpc.New(4, 2*time.Second)} }

func (u *Users) nextNode() string {
	u.node++
	return u.site.Controllers[u.node%len(u.site.Controllers)].Listen
}

// Submit submits a job, and repeats that after a second for up to a minute. It returns the last
// status.
func (u *Users) Submit(job *protocol.Job) int {
	var fields map[string]any
	if err := protocol.Decode(protocol.Encode(job), &fields); err != nil {
		panic(err)
	}
	for field, zero := range protocol.JobDefaults() {
		if _, ok := fields[field]; !ok {
			fields[field] = zero
		}
	}
	status := 0
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(time.Second) {
		var response protocol.JobResponse
		status = u.client.Call(fasthttp.MethodPost, u.nextNode(), "/v2/runs", fields, &response, 5*time.Second, 200, 201)
		u.site.Run.Log("user: submission of %s is answered %d %s", job.ID, status, response.State)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			break
		}
	}
	return status
}

// Poll asks once for the state of a job. The status is 0 without a response.
func (u *Users) Poll(id string) (int, protocol.JobResponse) {
	var response protocol.JobResponse
	status := u.client.Call(fasthttp.MethodGet, u.nextNode(), "/v2/runs/"+id, nil, &response, 2*time.Second, 200)
	return status, response
}
