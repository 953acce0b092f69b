#!/bin/bash
# Builds the stand-ins that the scripts of this review start; they need the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:none -d target/review-2 review/standins-2/*.java
