#!/bin/sh
# Compiles the stand-ins that the scripts start; they need only what the deploy file's
# build has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q soak wigeondrift wigeondrift_emulator review
