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

// minTopInterval is the lower limit of --every; it keeps frequent reads from loading the
// controllers.
const minTopInterval = 100 * time.Millisecond

var errNoStatusAddress = errors.New("status page address unknown: use --cluster")

type topCmd struct {
	Every time.Duration `default:"1s" help:"How often to look."`
	Once  bool          `help:"Print one picture and end."`
}

// readControllers reads the status pages of all controllers concurrently. It returns one view for
// each controller, in the same order. Status is valid only in the views whose err is nil.
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

// screen shows a cluster's view on a terminal and refreshes it at an interval.
type screen struct {
	clusterView
	interval time.Duration
}

// Messages of the screen's event loop.
type (
	controllersReadMsg []controllerView
	readDueMsg         struct{}
)

// Init returns the command that reads the controllers' status pages.
func (s *screen) Init() tea.Cmd {
	return func() tea.Msg { return controllersReadMsg(readControllers(s.controllers)) }
}

// Update handles a key press, a change of the window size, status pages that were read, and the end
// of the refresh interval.
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

// View returns the text of the screen.
func (s *screen) View() string { return s.render(time.Now()) + faintStyle.Render("q quits") }

// Run shows the cluster on the terminal until the user quits or ctx ends. With --once, or if
// standard output is not a terminal, it prints the view once.
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
		return nil // ctx ended
	}
	return err
}
