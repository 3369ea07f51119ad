#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build, with the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac --release 17 -Xlint:all -d build standin/*.java
cp standin/wire.properties build/review/
