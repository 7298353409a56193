#!/usr/bin/env bash
# Builds the program that runs the cases. It uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false go build -o bin/driver ./driver
