#!/bin/sh
# Plays the case of claim.txt after the build of the deploy file and review/build.sh. It exits with 1
# if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fsplat ] && [ -x target/review-rig ] || exit 2
exec target/review-rig crash review/3
