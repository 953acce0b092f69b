#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
[ -e review/target/CutAnswer.class ] || bash review/build.sh || exit 2
exec java -Xmx128m -cp review/target CutAnswer review/3/record.txt
