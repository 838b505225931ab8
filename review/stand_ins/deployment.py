"""A small deployment for the review's scripts: the project's stand-ins and bulrushd as the deploy file runs it.

The store, the workers and the clients are those of platform/testing/. Everything listens on loopback addresses and free
ports; files go to a temporary folder.
"""

import os
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
os.environ["SESSION_BIN"] = str(ROOT / "target" / "bin")
for folder in ("platform/testing", "testsuite/lib"):
    sys.path.insert(0, str(ROOT / folder))

import platform_site  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, case_folder):
        self.file = open(pathlib.Path(case_folder) / "record.txt", "w")
        self.start = time.monotonic()
        self.say(f"trouble: {has_trouble()}")

    def say(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def at(self, moment):
        return f"{moment - self.start:.3f}"


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="bulrush-review-")


def main(run, case_folder):
    """Runs a case and exits with its result: 0 held, 1 broken, 2 could not run."""
    record = Record(case_folder)
    try:
        with temporary_folder() as folder:
            result = run(record, pathlib.Path(folder) / "site")
    except Exception as error:  # the case could not run
        record.say(f"could not run: {type(error).__name__}: {error}")
        result = NOT_RUN
    record.say(f"result: {('held', 'broken', 'could not run')[result]}")
    sys.stdout.flush()
    os._exit(result)  # without the destructors of streams whose event loop has ended
