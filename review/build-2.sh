#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler of the JDK. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-ins-2/*.java
