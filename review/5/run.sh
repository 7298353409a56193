#!/usr/bin/env bash
# Runs the case leader-cut. It exits with 1 if the rule was broken, 0 if it held, and 2 if it
# couldn't run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x review/bin/driver ] || [ ! -x target/masticroad ]; then
	echo "build first: the build of the deploy file, then review/build.sh"
	exit 2
fi
exec review/bin/driver leader-cut "$folder"
