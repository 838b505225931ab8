#!/bin/sh
# The stand-ins of this review's scripts are the project's own in Python (platform/testing, testsuite/lib) and review/stand_ins_2,
# also in Python; nothing has to be compiled. This checks that they and the program of the deploy file are there.
cd "$(dirname "$0")/.." || exit 1
test -x target/bin/bulrushd && python3 -m py_compile review/stand_ins_2/*.py platform/testing/*.py testsuite/lib/processes.py
