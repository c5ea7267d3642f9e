#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# It needs the build of the deploy file and that of review/build-2.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/swiftreel ] || [ ! -x bin/review-stand2 ]; then
	echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
	exit 2
fi
exec bin/review-stand2 crowd review/9
