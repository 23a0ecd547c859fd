#!/bin/sh
# Builds every stand-in that the scripts review/4 to review/8 start. Run it after the build of the
# deploy file; it needs the same compiler and nothing from a network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standins2 ./review/standins2
