// Package logging creates the logger of the programs. It owns the meaning of the environment variable
// LOG_LEVEL; its callers decide what is logged at which level.
package logging

import (
	"io"
	"log/slog"
	"os"
	"strings"
)

// levelVariable is the environment variable that sets the level.
const levelVariable = "LOG_LEVEL"

// Level returns the level that LOG_LEVEL sets: error, info or debug, in any case. It is info if the
// variable is unset or has another value.
func Level() slog.Level {
	switch strings.ToLower(os.Getenv(levelVariable)) {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	default:
		return slog.LevelInfo
	}
}

// New returns a logger that writes the messages at or above the level that LOG_LEVEL sets to w, as
// lines of text.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: Level()}))
}
