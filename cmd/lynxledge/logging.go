package main

import (
	"log/slog"
	"os"
	"strings"
)

// setUpLogging sends log lines to standard error. LOG_LEVEL (error, info or debug) sets the lowest
// level that is logged; the default is info.
func setUpLogging() {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}
