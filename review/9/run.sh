#!/usr/bin/env bash
# Plays the case with the stand-ins that review/build-2.sh builds. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -e target/review-2/CancelledBeforeAccepted.class ] || [ ! -e target/node.jsa ]; then
    echo "build first: the command under build in deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
exec java -cp target/review-2 CancelledBeforeAccepted "$folder"
