#!/usr/bin/env bash
# Compiles the stand-ins of the cases; needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -Xlint:none -d review/target review/standins/*.java
