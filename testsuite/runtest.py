#!/usr/bin/env python3
"""Runs a test session, testsuite/CASE/run.py, and compares its transcript with the golden file CASE/ref/out.txt.

Usage: runtest.py CASE --bin FOLDER --out FOLDER [--update]
A session may also check further conditions; it fails if it raises an exception.
"""

import argparse
import difflib
import importlib.util
import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "lib"))
sys.path.insert(0, str(ROOT.parent / "platform" / "testing"))


def load(path):
    spec = importlib.util.spec_from_file_location("session", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("case")
    parser.add_argument("--bin", required=True)
    parser.add_argument("--out", required=True)
    parser.add_argument("--update", action="store_true", help="write the transcript to the golden file instead of comparing it")
    arguments = parser.parse_args()
    os.environ["SESSION_BIN"] = arguments.bin
    folder = pathlib.Path(arguments.out) / arguments.case
    transcript = load(ROOT / arguments.case / "run.py").run(folder)
    (folder / "out.txt").write_text(transcript)
    reference = ROOT / arguments.case / "ref" / "out.txt"
    if arguments.update:
        reference.parent.mkdir(exist_ok=True)
        reference.write_text(transcript)
        return 0
    expected = reference.read_text()
    if transcript == expected:
        print(f"{arguments.case}: transcript of {len(transcript.splitlines())} lines matches the golden file")
        return 0
    sys.stdout.writelines(difflib.unified_diff(
        expected.splitlines(True), transcript.splitlines(True), str(reference), str(folder / "out.txt")))
    return 1


sys.exit(main())
