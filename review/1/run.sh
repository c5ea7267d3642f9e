#!/bin/sh
# Plays case 1 and writes what was sent, answered and run to record.txt beside this script.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$here/record.txt"
echo "case 1, TROUBLE=${TROUBLE:-1}, $(date -u +%FT%TZ); times in ms from the start" >"$record" || exit 2
if [ ! -x "$here/../bin/cases" ] || [ ! -x "$here/../../bin/swiftreel" ]; then
	echo "CANNOT RUN: build first (deploy/balancer.toml), then review/build.sh" | tee -a "$record"
	exit 2
fi
exec "$here/../bin/cases" 1 "$record"
