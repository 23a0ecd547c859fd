package main

import (
	"log/slog"
	"os"
	"strings"
)

// setUpLogging has log lines written to standard error, from the level that LOG_LEVEL names.
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
