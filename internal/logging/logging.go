// Package logging makes the programs' logger. It owns the meaning of LOG_LEVEL; what is logged,
// and at which level, is up to its users.
package logging

import (
	"io"
	"log/slog"
	"os"
	"strings"
)

// levelVariable is the environment's variable that sets the level.
const levelVariable = "LOG_LEVEL"

// Level is the level that LOG_LEVEL asks for: error, info or debug, and info without it.
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

// New makes a logger that writes lines of text at that level.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: Level()}))
}
