#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
cd "$(dirname "$0")/standins-2" || exit 2
mkdir -p ../../target/review-2 || exit 2
GOTOOLCHAIN=local GOWORK=off GOFLAGS= exec go build -buildvcs=false -o ../../target/review-2/standins-2 .
