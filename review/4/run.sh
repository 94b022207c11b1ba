#!/usr/bin/env bash
# Plays the case with the stand-ins that review/build.sh builds. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/oriole-fleet ] && [ -x target/review/standin ] || exit 2
exec target/review/standin queue-moves-back review/4
