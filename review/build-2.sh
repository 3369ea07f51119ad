#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
classes=${1:-target/review-2}
rm -rf "$classes"
mkdir -p "$classes/review2"
javac --release 17 -Xlint:all -d "$classes" review/standin-2/*.java
cp review/standin-2/wire.properties "$classes/review2/"
