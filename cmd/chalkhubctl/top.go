package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"
	"github.com/mattn/go-runewidth"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/local"
)

type topCmd struct {
	Every time.Duration `default:"1s" help:"How often to look."`
	Once  bool          `help:"Print one picture and end."`
}

// controllerView is the last good page of a controller.
type controllerView struct {
	status core.Status
	at     time.Time // zero: never
	err    error     // of the last try, nil: it answered
}

// clusterView is all that is known of a cluster, without any input or output.
type clusterView struct {
	controllers []local.Controller
	teams       map[string]config.Team // what they are promised, by name
	views       []controllerView
	width       int
	height      int
}

type controllersRead struct {
	pages []controllerView // only err, or page and at
}

func readControllers(cs []local.Controller) controllersRead {
	l := controllersRead{make([]controllerView, len(cs))}
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.Status == "" {
				l.pages[i].err = errors.New("its status page's address is not known: use --cluster")
				return
			}
			l.pages[i].err = local.ReadStatus(c.Status, &l.pages[i].status)
			l.pages[i].at = time.Now()
		}()
	}
	wg.Wait()
	return l
}

// update takes what was seen; a controller that did not answer keeps its last good page.
func (p *clusterView) update(l controllersRead) {
	for i, s := range l.pages {
		p.views[i].err = s.err
		if s.err == nil {
			p.views[i] = s
		}
	}
}

// leader is the newest page of whoever leads, as the newest epoch has it.
func (p *clusterView) leader() *controllerView {
	var best *controllerView
	for i := range p.views {
		s := &p.views[i]
		if s.at.IsZero() || s.status.Leader != s.status.Label {
			continue
		}
		if best == nil || s.status.Epoch > best.status.Epoch {
			best = s
		}
	}
	return best
}

var (
	headerStyle = lipgloss.NewStyle().Bold(true)
	alertStyle  = lipgloss.NewStyle().Foreground(lipgloss.Color("9"))
	faintStyle  = lipgloss.NewStyle().Faint(true)
)

func age(now, at time.Time) string { return fmt.Sprintf("%.0f s ago", now.Sub(at).Seconds()) }

// render draws the picture for the width of the terminal.
func (p *clusterView) render(now time.Time) string {
	width := p.width
	if width <= 0 {
		width = 80
	}
	var b strings.Builder
	line := func(style lipgloss.Style, format string, args ...any) {
		text := runewidth.Truncate(fmt.Sprintf(format, args...), width, "…")
		b.WriteString(style.Render(text) + "\n")
	}
	plain := lipgloss.NewStyle()
	line(headerStyle, "%-9s %-7s %5s %5s %5s %5s %6s %6s", "node", "role", "epoch", "mach", "tasks", "jobs", "p50 ms", "p99 ms")
	machines, tasks := map[string]int{}, map[string]int{}
	for i, c := range p.controllers {
		s := &p.views[i]
		if s.at.IsZero() {
			line(alertStyle, "%-9s not seen yet: %v", c.Label, s.err)
			continue
		}
		n, open := 0, 0
		for _, m := range s.status.Machines {
			machines[m.Zone]++
			tasks[m.Zone] += m.Tasks
			n += m.Tasks
		}
		for state, k := range s.status.Jobs {
			if state == "queued" || state == "running" {
				open += k
			}
		}
		role := "member"
		switch {
		case s.status.Leader == s.status.Label:
			role = "leader"
		case !s.status.Entitled:
			role = "outside"
		}
		style, note := plain, ""
		if s.err != nil {
			style, note = alertStyle, "away, seen "+age(now, s.at)
		}
		line(style, "%-9s %-7s %5d %5d %5d %5d %6d %6d  %s", c.Label, role, s.status.Epoch, len(s.status.Machines), n, open, s.status.ResponseTimes.P50, s.status.ResponseTimes.P99, note)
	}
	b.WriteString("\n")
	line(headerStyle, "%-10s %5s %6s", "zone", "mach", "tasks")
	for _, z := range sorted(machines) {
		line(plain, "%-10s %5d %6d", z, machines[z], tasks[z])
	}
	b.WriteString("\n")
	lead := p.leader()
	if lead == nil {
		line(alertStyle, "no controller has said that it leads")
		return b.String()
	}
	if lead.err != nil {
		line(alertStyle, "the leader is away; below is what it said %s", age(now, lead.at))
	}
	if lead.status.UnseenMachines > 0 {
		line(alertStyle, "a take-over waits for %d machines", lead.status.UnseenMachines)
	}
	line(headerStyle, "%-14s %9s %9s %9s   (%.0f CPUs wanted)", "team", "CPUs", "promised", "limit", lead.status.DesiredCPUs)
	for _, t := range sorted(lead.status.TeamCPUs) {
		style := plain
		promised, limit := "-", "-"
		if x, ok := p.teams[t]; ok {
			promised = fmt.Sprintf("%.1f", x.CPUs)
			if x.CPUsMax > 0 {
				limit = fmt.Sprintf("%.1f", x.CPUsMax)
				if lead.status.TeamCPUs[t] > 0.99*x.CPUsMax {
					style = alertStyle
				}
			}
		}
		line(style, "%-14s %9.1f %9s %9s", t, lead.status.TeamCPUs[t], promised, limit)
	}
	b.WriteString("\n")
	queue := append([]core.QueuedJobStatus(nil), lead.status.Queue...)
	sort.Slice(queue, func(i, j int) bool {
		if queue[i].Waiting != queue[j].Waiting {
			return queue[i].Waiting > queue[j].Waiting
		}
		return queue[i].JobID < queue[j].JobID
	})
	line(headerStyle, "%-22s %7s %7s  %s", fmt.Sprintf("job (%d open)", len(queue)), "waiting", "placed", "why it waits")
	room := len(queue)
	if p.height > 0 {
		room = max(p.height-strings.Count(b.String(), "\n")-2, 1)
	}
	for i, q := range queue {
		if i == room {
			line(faintStyle, "and %d more", len(queue)-room)
			break
		}
		line(plain, "%-22s %7d %7d  %s", q.JobID, q.Waiting, q.InFlight, q.Reason)
	}
	return b.String()
}

func sorted[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// screen is the picture on a terminal.
type screen struct {
	clusterView
	interval time.Duration
}

type readDue struct{}

// Init begins with a look.
func (s *screen) Init() tea.Cmd { return func() tea.Msg { return readControllers(s.controllers) } }

// Update takes a key, a size or a look.
func (s *screen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case tea.KeyMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return s, tea.Quit
		}
	case tea.WindowSizeMsg:
		s.width, s.height = m.Width, m.Height
	case controllersRead:
		s.update(m)
		return s, tea.Tick(s.interval, func(time.Time) tea.Msg { return readDue{} })
	case readDue:
		return s, s.Init()
	}
	return s, nil
}

// View draws the picture.
func (s *screen) View() string { return s.render(time.Now()) + faintStyle.Render("q ends") }

// Run watches the cluster.
func (c *topCmd) Run(ctx context.Context, top *cli) error {
	a, err := top.addresses()
	if err != nil {
		return err
	}
	p := clusterView{controllers: a.Controllers, views: make([]controllerView, len(a.Controllers)), teams: map[string]config.Team{}}
	for _, t := range a.Teams {
		p.teams[t.Name] = t
	}
	if c.Once || !isTerminal(os.Stdout) {
		p.update(readControllers(p.controllers))
		fmt.Print(p.render(time.Now()))
		return nil
	}
	_, err = tea.NewProgram(&screen{p, max(c.Every, 100*time.Millisecond)}, tea.WithAltScreen(), tea.WithContext(ctx)).Run()
	if errors.Is(err, tea.ErrProgramKilled) {
		return nil
	}
	return err
}
