#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/target/cowsliplatch.jar" ] || [ ! -f "$root/review/build/review/Case.class" ]; then
    echo "run the build of the deploy file and review/build.sh first"
    exit 2
fi
cd "$root" || exit 2
exec java -Xmx512m -cp review/build review.ColdRestartCase "$root" "$here"
