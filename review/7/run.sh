#!/usr/bin/env bash
# Plays the case with the stand-ins that review/build-2.sh builds. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec java -cp target/review-2 LostAfterRestart "$folder"
