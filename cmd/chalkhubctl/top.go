package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/local"
)

// minTopInterval keeps --every from loading the controllers.
const minTopInterval = 100 * time.Millisecond

var errNoStatusAddress = errors.New("its status page's address is not known: use --cluster")

type topCmd struct {
	Every time.Duration `default:"1s" help:"How often to look."`
	Once  bool          `help:"Print one picture and end."`
}

// readControllers reads all controllers' status pages at once. Of each view, either err or
// the rest is set.
func readControllers(controllers []local.Controller) []controllerView {
	views := make([]controllerView, len(controllers))
	var wg sync.WaitGroup
	for i, c := range controllers {
		wg.Go(func() {
			if c.StatusAddr == "" {
				views[i].err = errNoStatusAddress
				return
			}
			views[i].err = local.ReadStatus(c.StatusAddr, &views[i].status)
			views[i].readAt = time.Now()
		})
	}
	wg.Wait()
	return views
}

// screen is a cluster's view on a terminal.
type screen struct {
	clusterView
	interval time.Duration
}

// Messages of the screen's loop.
type (
	controllersReadMsg []controllerView
	readDueMsg         struct{}
)

// Init begins with reading the controllers.
func (s *screen) Init() tea.Cmd {
	return func() tea.Msg { return controllersReadMsg(readControllers(s.controllers)) }
}

// Update takes a key, a size or what was read.
func (s *screen) Update(message tea.Msg) (tea.Model, tea.Cmd) {
	switch m := message.(type) {
	case tea.KeyMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return s, tea.Quit
		}
	case tea.WindowSizeMsg:
		s.width, s.height = m.Width, m.Height
	case controllersReadMsg:
		s.update(m)
		return s, tea.Tick(s.interval, func(time.Time) tea.Msg { return readDueMsg{} })
	case readDueMsg:
		return s, s.Init()
	}
	return s, nil
}

// View draws the screen.
func (s *screen) View() string { return s.render(time.Now()) + faintStyle.Render("q ends") }

// Run watches the cluster.
func (c *topCmd) Run(ctx context.Context, root *cli) error {
	addresses, err := root.addresses()
	if err != nil {
		return err
	}
	view := clusterView{
		controllers: addresses.Controllers,
		views:       make([]controllerView, len(addresses.Controllers)),
		teams:       map[string]config.Team{},
	}
	for _, team := range addresses.Teams {
		view.teams[team.Name] = team
	}
	if c.Once || !isTerminal(os.Stdout) {
		view.update(readControllers(view.controllers))
		fmt.Print(view.render(time.Now()))
		return nil
	}
	program := tea.NewProgram(&screen{view, max(c.Every, minTopInterval)}, tea.WithAltScreen(), tea.WithContext(ctx))
	_, err = program.Run()
	if errors.Is(err, tea.ErrProgramKilled) {
		return nil // the context ended
	}
	return err
}
