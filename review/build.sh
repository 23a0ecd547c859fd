#!/bin/sh
# Builds the stand-ins that the cases start. Needs only Go's standard library.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
