#!/bin/sh
# The stand-ins of the scripts are in Python: those of platform/testing and testsuite/lib, and the ones in review/. There is
# nothing to compile; this checks that they can be read. The program comes from the build of the deploy file (target/).
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile platform/testing/*.py testsuite/lib/*.py review/stand_ins/*.py review/*/case.py
