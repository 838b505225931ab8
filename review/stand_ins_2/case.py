"""What the scripts of this review share: a deployment on loopback, clients that retry as the pages say, and the record.

The workers, the store and the protocol of the clients are the project's own stand-ins (platform/testing).
"""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
os.environ["SESSION_BIN"] = str(ROOT / "target" / "bin")
sys.path[:0] = [str(ROOT / "testsuite" / "lib"), str(ROOT / "platform" / "testing")]

from platform_site import Site  # noqa: E402
from processes import free_port  # noqa: E402,F401

ZONES = ("zg-1", "st-1", "ri-1")
# As on the sheet of zts-titlovi; the other bounds that the settings template takes have the same values already.
BOUNDS = {"retryBudgetRatio": 0.2, "budgetSlack": 58, "stableMs": 3000, "configMs": 2000, "leaseMs": 3000, "drainMs": 2000, "graceS": 8}
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: what was sent, answered and run, in seconds since the start of the case."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.begun_at = time.monotonic()
        self.lines = []

    def seconds(self, at=None):
        return (time.monotonic() if at is None else at) - self.begun_at

    def add(self, text, at=None):
        self.lines.append((self.seconds(at), text))

    def say(self, text):
        """A line that is printed too."""
        print(text, flush=True)
        self.add(text)

    def write(self):
        self.path.write_text("".join(f"{at:9.3f} {text}\n" for at, text in sorted(self.lines, key=lambda it: it[0])))


@contextlib.contextmanager
def open_site(**options):
    with tempfile.TemporaryDirectory(prefix="bulrush-case-") as folder, Site(folder, bounds=BOUNDS, **options) as site:
        yield site


def start_fronts(site, count):
    fronts = [site.start_instance(f"front-{it}", ZONES[it % len(ZONES)]) for it in range(count)]
    site.wait_ready(*fronts)
    return fronts


def note(record, kind, front, outcome):
    record.add(f"sent {outcome.request} {kind} to {front.name}", outcome.sent_at)
    detail = "" if outcome.status else f" ({outcome.error})"
    record.add(f"answered {outcome.request} {kind}: {outcome.status or 'no answer'}{detail}", outcome.sent_at + outcome.elapsed)


def note_runs(record, site):
    for run in site.runs:
        record.add(f"run {run.request} by {run.worker}", run.started_at)


async def send_with_retry(site, record, kind, fronts, spec, retries=1):
    """Sends a request as the clients of the pages do: each retry is a new client attempt at another machine, after any failure
    for idempotent requests, otherwise only after the promise that it has not run. Returns whether it was served."""
    end = time.monotonic() + spec.deadline_ms / 1000
    order = random.sample(fronts, min(len(fronts), retries + 1))
    for number, front in enumerate(order):
        outcome = await site.send(front, spec)
        note(record, kind, front, outcome)
        if outcome.is_served:
            return True
        left = end - time.monotonic()
        if left <= 0 or number == len(order) - 1 or not (spec.kind == "idempotent" or outcome.reports_not_run):
            return False
        wanted = float(outcome.headers.get("retry-after", 0.2))
        await asyncio.sleep(min(wanted, left / 3))
    return False


def main(run, folder):
    """Runs a case and exits with its result."""
    record = Record(folder)
    try:
        result = run(record)
    except Exception as error:  # noqa: BLE001 - whatever keeps the case from running
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        result = CANNOT_RUN
    record.say(f"exit {result}")
    record.write()
    sys.stdout.flush()
    os._exit(result)
