#!/bin/sh
# Builds the stand-ins of the scripts in review/11, 12 and 14. They use the standard library only.
cd "$(dirname "$0")/standins-3" || exit 2
GOTOOLCHAIN=local GOWORK=off GOFLAGS= exec go build -buildvcs=false -o bin/standin .
