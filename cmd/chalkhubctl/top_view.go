package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/lipgloss"
	"github.com/mattn/go-runewidth"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// defaultWidth is the width in columns that is used if the terminal's width is not known.
	defaultWidth = 80

	// nearLimitFraction is the fraction of a team's limit above which the team is shown as having
	// reached the limit.
	nearLimitFraction = 0.99

	// footerLines is the number of lines kept free below the queue: one for the number of jobs
	// that are not shown, and one for the last line of the screen.
	footerLines = 2
)

var (
	plainStyle  = lipgloss.NewStyle()
	headerStyle = lipgloss.NewStyle().Bold(true)
	alertStyle  = lipgloss.NewStyle().Foreground(lipgloss.Color("9"))
	faintStyle  = lipgloss.NewStyle().Faint(true)
)

// controllerView holds the last status page that was read from a controller.
type controllerView struct {
	status core.Status
	readAt time.Time // zero if never read
	err    error     // why the last attempt to read the status page failed, nil if it succeeded
}

// clusterView holds all that is known about a cluster and renders it as text. It does no input or
// output itself.
type clusterView struct {
	controllers []local.Controller
	teams       map[string]config.Team // by name
	views       []controllerView       // in the order of controllers
	width       int
	height      int // 0 if not limited
}

// update takes the results of a read, in the order of the controllers. A controller that could not
// be read keeps its last status page.
func (c *clusterView) update(results []controllerView) {
	for i, v := range results {
		c.views[i].err = v.err
		if v.err == nil {
			c.views[i] = v
		}
	}
}

// leader returns the view with the newest epoch among the controllers that report themselves as
// leader, or nil if there is none.
func (c *clusterView) leader() *controllerView {
	var newest *controllerView
	for i := range c.views {
		v := &c.views[i]
		if v.readAt.IsZero() || !v.isLeader() {
			continue
		}
		if newest == nil || v.status.Epoch > newest.status.Epoch {
			newest = v
		}
	}
	return newest
}

func (v *controllerView) isLeader() bool { return v.status.Leader == v.status.Label }

func (v *controllerView) role() string {
	switch {
	case v.isLeader():
		return "leader"
	case !v.status.MayServe:
		return "outside"
	}
	return "member"
}

// tasks returns the number of tasks on the machines of the controller's shard.
func (v *controllerView) tasks() int {
	count := 0
	for _, m := range v.status.Machines {
		count += m.Tasks
	}
	return count
}

// openJobs returns the number of jobs that are queued or running.
func (v *controllerView) openJobs() int {
	return v.status.Jobs[protocol.JobQueued] + v.status.Jobs[protocol.JobRunning]
}

// textView collects lines of text, each truncated to the width of the terminal.
type textView struct {
	text  strings.Builder
	width int
}

func (t *textView) line(style lipgloss.Style, format string, args ...any) {
	text := runewidth.Truncate(fmt.Sprintf(format, args...), t.width, "…")
	t.text.WriteString(style.Render(text) + "\n")
}

func (t *textView) blankLine() { t.text.WriteString("\n") }

func (t *textView) lineCount() int { return strings.Count(t.text.String(), "\n") }

func age(now, then time.Time) string { return fmt.Sprintf("%.0f s ago", now.Sub(then).Seconds()) }

// render returns the view as text that fits the width and height of the terminal.
func (c *clusterView) render(now time.Time) string {
	t := &textView{width: c.width}
	if t.width <= 0 {
		t.width = defaultWidth
	}
	c.renderControllers(t, now)
	t.blankLine()
	c.renderZones(t)
	t.blankLine()
	leader := c.leader()
	if leader == nil {
		t.line(alertStyle, "no controller is known to be the leader")
		return t.text.String()
	}
	if leader.err != nil {
		t.line(alertStyle, "the leader is unreachable; its status below was read %s", age(now, leader.readAt))
	}
	if leader.status.UnseenMachines > 0 {
		t.line(alertStyle, "failover in progress: %d machines may run tasks unknown to the leader", leader.status.UnseenMachines)
	}
	c.renderTeams(t, &leader.status)
	t.blankLine()
	c.renderQueue(t, &leader.status)
	return t.text.String()
}

func (c *clusterView) renderControllers(t *textView, now time.Time) {
	t.line(headerStyle, "%-9s %-7s %5s %5s %5s %5s %6s %6s", "node", "role", "epoch", "mach", "tasks", "jobs", "p50 ms", "p99 ms")
	for i, controller := range c.controllers {
		v := &c.views[i]
		if v.readAt.IsZero() {
			t.line(alertStyle, "%-9s no status received yet: %v", controller.Label, v.err)
			continue
		}
		style, lastSeen := plainStyle, ""
		if v.err != nil {
			style, lastSeen = alertStyle, "last seen "+age(now, v.readAt)
		}
		t.line(style, "%-9s %-7s %5d %5d %5d %5d %6d %6d  %s", controller.Label, v.role(), v.status.Epoch, len(v.status.Machines),
			v.tasks(), v.openJobs(), v.status.ResponseTimes.P50, v.status.ResponseTimes.P99, lastSeen)
	}
}

func (c *clusterView) renderZones(t *textView) {
	machines, tasks := map[string]int{}, map[string]int{}
	for i := range c.views {
		for _, m := range c.views[i].status.Machines {
			machines[m.Zone]++
			tasks[m.Zone] += m.Tasks
		}
	}
	t.line(headerStyle, "%-10s %5s %6s", "zone", "mach", "tasks")
	for _, zone := range slices.Sorted(maps.Keys(machines)) {
		t.line(plainStyle, "%-10s %5d %6d", zone, machines[zone], tasks[zone])
	}
}

func (c *clusterView) renderTeams(t *textView, leader *core.Status) {
	t.line(headerStyle, "%-14s %9s %9s %9s   (%.0f CPUs desired)", "team", "CPUs", "promised", "limit", leader.DesiredCPUs)
	for _, name := range slices.Sorted(maps.Keys(leader.TeamCPUs)) {
		used := leader.TeamCPUs[name]
		style, promised, limit := plainStyle, "-", "-"
		if team, ok := c.teams[name]; ok {
			promised = fmt.Sprintf("%.1f", team.CPUs)
			if team.CPUsMax > 0 {
				limit = fmt.Sprintf("%.1f", team.CPUsMax)
				if used > nearLimitFraction*team.CPUsMax {
					style = alertStyle
				}
			}
		}
		t.line(style, "%-14s %9.1f %9s %9s", name, used, promised, limit)
	}
}

// renderQueue shows as many of the queued jobs as fit into the height, those with the most waiting
// tasks first.
func (c *clusterView) renderQueue(t *textView, leader *core.Status) {
	queue := slices.Clone(leader.Queue)
	slices.SortFunc(queue, func(a, b core.QueuedJobStatus) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.JobID, b.JobID))
	})
	t.line(headerStyle, "%-22s %7s %7s  %s", fmt.Sprintf("job (%d open)", len(queue)), "waiting", "placed", "why it waits")
	maxRows := len(queue)
	if c.height > 0 {
		maxRows = max(c.height-t.lineCount()-footerLines, 1)
	}
	for i, job := range queue {
		if i == maxRows {
			t.line(faintStyle, "and %d more", len(queue)-maxRows)
			break
		}
		t.line(plainStyle, "%-22s %7d %7d  %s", job.JobID, job.Waiting, job.InFlight, job.Reason)
	}
}
