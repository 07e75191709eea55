#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-rig ] || { echo "target/review-rig is missing: run review/build-2.sh"; exit 2; }
exec target/review-rig -case headroom -record "$here/record.txt"
