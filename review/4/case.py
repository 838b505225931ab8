"""A prompt part crashes each engine that begins to write an answer on it: the first event is out, then the engine is gone.
Counts how many sound requests that share the other parts begin at the first attempt, before and after.

TROUBLE=0: the part crashes nothing. TROUBLE=early: the engines crash before the first event is out.
"""

import asyncio
import os
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand_ins"))

import deployment  # noqa: E402
import http_io  # noqa: E402
import serving_site  # noqa: E402
import worker as workers  # noqa: E402
from platform_site import ENGINE_SERVICE, Site  # noqa: E402
from processes import free_port, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
ENGINES, INSTANCES = 6, 3
BACK_S = 2.0  # after which a crashed engine is back
EVENT_S = 0.01  # time that an engine takes for an event
CALM_ROUNDS, ROUNDS, ROUND_S = 12, 60, 0.5
STABLE_S = 3.0
MIN_REQUESTS = 20
MODEL = "m-0"


class CrashingEngine(workers.Engine):
    """Stays away for a few seconds after a crash."""

    async def _respond(self, request, run, writer):
        if not self.crashing_prompt_parts.intersection(workers.prompt_part_ids(request)):
            return await super()._respond(request, run, writer)
        if TROUBLE != "early":
            writer.write(http_io.encode_head(200, {
                **self._common_headers(request), "Bulrushstack-Response-Seal": f"seal-{run.request}",
                "Bulrushstack-Weight-Versions": 1, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
            event = f"id: 1\ndata: {workers.event_data(request, 1)}\nsoftware: {run.version}\n\n".encode()
            writer.write(http_io.encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        self.site.spawn(self.crash(restart_after=BACK_S))
        return False


def prompt(number, *shared):
    return (("house", 100), ("opera", 50), *shared, (f"own-{number}", 20))


def is_crashing(spec):
    return any(name == "crashing" for name, _ in spec.parts)


def run(record, folder):
    with Site(folder) as site:
        site.models = {MODEL: 0}
        for number in range(ENGINES):
            name = f"engine-{number}"
            engine = site._add(CrashingEngine(site, name, ENGINE_SERVICE, serving_site.ZONES[number % 3], free_port(), 300, 4,
                                              (MODEL,), slots=64))
            if TROUBLE != "0":
                engine.crashing_prompt_parts = {"crashing"}
        site.add_route(serving_site.BRIEF_PREFIX, "stream", "models", attempts=1)
        site.configure()
        instances = serving_site.start_instances(site, INSTANCES)
        wait_until(lambda: all(f"event=peers count={INSTANCES}" in it.log() for it in instances), "the instances know each other")
        for number in range(CALM_ROUNDS + ROUNDS):
            begun = time.monotonic()
            others = [(it, serving_site.brief_request(parts=prompt(f"{number}-{it.name}"))) for it in instances]
            if number >= CALM_ROUNDS:
                crashing = serving_site.brief_request(parts=prompt(number, ("crashing", 30)))
                others.append((instances[number % INSTANCES], crashing))
            site.call_concurrently(others)
            time.sleep(max(0.0, begun + ROUND_S - time.monotonic()))
        runs = sorted((it for it in site.runs if is_crashing(site.sent_requests[it.request])), key=lambda it: it.started_at)
        outcomes = list(site.outcomes)
        quarantined = [line for it in instances for line in it.log().splitlines() if 'event=quarantine kind' in line]
    for it in outcomes:
        spec = site.sent_requests[it.request]
        record.say(f"sent {it.request} at {record.at(it.sent_at)} to {site.instance_by_request[it.request]} "
                   f"crashing_part={is_crashing(spec)} status={it.status} complete={it.is_complete} error={it.error or 'none'} {it.body[:300] if it.status == 503 else ''}")
    for it in runs:
        record.say(f"ran {it.request} on {it.worker} at {record.at(it.started_at)} with the crashing part")
    for line in quarantined:
        record.say(f"log: {line}")
    sound = [it for it in outcomes if not is_crashing(site.sent_requests[it.request])]
    if len(runs) < 5 or TROUBLE == "0":
        record.say(f"LOST: {0 if TROUBLE == '0' else len(runs)} crashes, sound requests served: {sum(it.is_served for it in sound)} of {len(sound)}")
        return deployment.HELD
    first = [it for it in sound if it.sent_at < runs[0].started_at - 0.1]
    late = [it for it in sound if it.sent_at > runs[4].started_at + 2 * STABLE_S]
    share_before, share_late = (sum(bool(it.events) for it in part) / max(1, len(part)) for part in (first, late))
    still_coming = sum(is_crashing(site.sent_requests[it.request]) and it.sent_at > late[-1].sent_at - 2 for it in outcomes)
    record.say(f"requests with the crashing part that reached engines: {len(runs)}; sent in the last 2 s: {still_coming}")
    record.say(f"LOST: sound requests that began at the first attempt: before the first crash {share_before:.2f} of {len(first)}; later "
               f"than {2 * STABLE_S:g} s after the fifth crash {share_late:.2f} of {len(late)}")
    is_counted = len(first) >= MIN_REQUESTS and len(late) >= MIN_REQUESTS and still_coming > 0
    return deployment.BROKEN if is_counted and share_late < share_before / 2 else deployment.HELD


deployment.main(run, CASE)
