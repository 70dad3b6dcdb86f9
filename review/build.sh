#!/usr/bin/env bash
# Builds the stand-ins and the judges of the cases; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/stand-ins/*.java
