"""One of three board workers spoils some of its answers: the head names a length that no answer has, and the connection
ends after a few bytes. Counts requests that sound engines were given, and whose kept connection ended without an answer.

TROUBLE=0: the worker spoils no answer; the rest is the same.
"""

import asyncio
import dataclasses
import os
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand_ins"))

import deployment  # noqa: E402
import caller  # noqa: E402
import http_io  # noqa: E402
import serving_site  # noqa: E402
import worker as workers  # noqa: E402
from platform_site import BOARD_SERVICE, Site  # noqa: E402
from processes import free_port  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GARBLE_S = 6.0  # seconds for which the worker spoils answers
GARBLE_EVERY = 36  # one answer in 36: x = 0.028
LENGTH = 10**15  # bytes that the spoilt head announces
RESTART_S = 0.5  # after which the platform starts a process again that ended
STREAM_CLIENTS, BOARD_CLIENTS = 8, 4  # per instance
LOST_LIMIT = 3


class GarblingWorker(workers.Worker):
    """A board worker that truncates some of its answers while `is_garbling`."""

    is_garbling = False
    answers = 0
    spoilt = 0

    async def _send_whole(self, request, run, writer, body):
        self.answers += 1
        if not self.is_garbling or self.answers % GARBLE_EVERY:
            return await super()._send_whole(request, run, writer, body)
        self.spoilt += 1
        headers = {**self._common_headers(request), "Bulrushstack-Response-Seal": f"seal-{run.request}",
                   "Content-Type": "application/json", "Content-Length": LENGTH}
        writer.write(http_io.encode_head(200, headers) + body)
        await writer.drain()
        return False


@dataclasses.dataclass
class Sent:
    outcome: caller.Outcome
    instance: str
    was_kept: bool  # whether the connection had carried a request before


async def client(site, instance, spec_of, until, sent):
    """Sends one request after the other on a kept connection."""
    connection = caller.Connection()
    while time.monotonic() < until:
        was_kept = connection.writer is not None
        outcome = await site.send(instance, spec_of(), connection=connection)
        sent.append(Sent(outcome, instance.name, was_kept))
        if not outcome.is_served:
            await asyncio.sleep(0.2)
    connection.close()


async def restart_ended(site, instances, until, record, ends):
    """Starts processes again that ended by themselves, as the platform does."""
    while time.monotonic() < until:
        await asyncio.sleep(0.02)
        for it in instances:
            if it.process.is_running():
                continue
            ends.append(it.name)
            record.say(f"the process of {it.name} ended by itself, exit status {it.process.child.returncode}")
            await asyncio.sleep(RESTART_S)
            await asyncio.to_thread(site.start_instance, it.name, it.zone)


async def play(site, instances, garbling, record, sent, ends):
    start = time.monotonic()
    until = start + 4 + GARBLE_S
    tasks = [client(site, it, spec, until, sent) for it in instances
             for spec, count in ((lambda: serving_site.brief_request(output_tokens=8), STREAM_CLIENTS),
                                 (serving_site.lookup_request, BOARD_CLIENTS)) for _ in range(count)]

    async def trouble():
        await asyncio.sleep(2)
        garbling.is_garbling = HAS_TROUBLE
        await asyncio.sleep(GARBLE_S)
        garbling.is_garbling = False

    await asyncio.gather(*tasks, trouble(), restart_ended(site, instances, until, record, ends))


def run(record, folder):
    with Site(folder) as site:
        site.models = {"m-0": 0}
        for number in range(3):
            site.add_engine(f"engine-{number}", serving_site.ZONES[number], ("m-0",), slots=64, processing_time=0.3)
        for number in range(2):
            site.add_plain_worker(f"plain-{number}", serving_site.ZONES[number], slots=8, processing_time=0.06)
        garbling = site._add(GarblingWorker(site, "plain-2", BOARD_SERVICE, serving_site.ZONES[2], free_port(), slots=8,
                                            processing_time=0.06))
        site.add_route(serving_site.BRIEF_PREFIX, "stream", "models", attempts=1)
        site.add_route(serving_site.LOOKUP_PREFIX, "idempotent", "board", attempts=2)
        site.configure()
        instances = serving_site.start_instances(site, 3)
        sent, ends = [], []
        site.run_coroutine(play(site, instances, garbling, record, sent, ends))
        runs = {it.request: it.worker for it in site.runs}
    lost = []
    for it in sent:
        outcome, worker = it.outcome, runs.get(it.outcome.request, "none")
        record.say(f"sent {outcome.request} at {record.at(outcome.sent_at)} to {it.instance} kept={it.was_kept} "
                   f"kind={outcome.kind} ran_on={worker} status={outcome.status} complete={outcome.is_complete} "
                   f"error={outcome.error or 'none'}")
        if it.was_kept and outcome.status == 0 and outcome.error != "TimeoutError" and worker.startswith("engine"):
            lost.append(outcome.request)
    record.say(f"requests: {len(sent)}, spoilt answers: {garbling.spoilt}, processes that ended by themselves: {len(ends)}")
    record.say(f"LOST: {len(lost)} requests passed on to sound engines whose kept connection ended without an answer; "
               f"allowed {LOST_LIMIT}")
    return deployment.BROKEN if len(lost) > LOST_LIMIT else deployment.HELD


deployment.main(run, CASE)
