package main

import (
	"fmt"
	"os"

	"github.com/goccy/go-json"
	"github.com/jedib0t/go-pretty/v6/table"
)

// print prints v as JSON with --output json; otherwise it calls text, which prints it for people.
func (c *cli) print(v any, text func()) error {
	if c.Output != "json" {
		text()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		_, err = fmt.Println(string(b))
	}
	return err
}

// newTable returns a table with the given column names in the style that all commands share. It
// renders to standard output.
func newTable(names ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(table.Row(names))
	return t
}

func isTerminal(f *os.File) bool {
	st, err := f.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}
