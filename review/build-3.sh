#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. All are Python programs without dependencies, the project's store among them, so that
# there is nothing to compile: this checks that an interpreter with their modules is there and can read them.
cd "$(dirname "$0")/.." || exit 1
python3 -B - review/stand_ins_3/*.py review/1[1-5]/run.py platform/testing/store.py platform/testing/http_io.py <<'END'
import asyncio, json, pathlib, sys, tomllib
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
print(f"{len(sys.argv) - 1} files checked")
END
