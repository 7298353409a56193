#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They use the standard library only.
set -e
cd "$(dirname "$0")/standins-3"
go build -o bin/standin .
