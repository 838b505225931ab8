"""A prompt part crashes each engine that begins to write an answer on it, while the engines say that they are brittle.
Counts the requests with that part that reach engines later than stableMs after the fifth crash.

TROUBLE=0: the part crashes nothing and the engines are not brittle. TROUBLE=part or TROUBLE=brittle: only one of the two.
"""

import os
import pathlib
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "stand_ins"))

import deployment  # noqa: E402
import serving_site  # noqa: E402
import worker as workers  # noqa: E402
from platform_site import ENGINE_SERVICE, Site  # noqa: E402
from processes import free_port, wait_until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
ENGINES, INSTANCES = 6, 3
BRITTLENESS = 20.0  # requests a second that an engine may turn away
BACK_S = 2.0  # after which a crashed engine is back
ROUNDS, ROUND_S = 60, 0.5
STABLE_S = 3.0
LATE_LIMIT = 3
MODEL = "m-0"


class CrashingEngine(workers.Engine):
    """Stays away for a few seconds after a crash."""

    async def _respond(self, request, run, writer):
        if not self.crashing_prompt_parts.intersection(workers.prompt_part_ids(request)):
            return await super()._respond(request, run, writer)
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
            if TROUBLE in ("1", "part"):
                engine.crashing_prompt_parts = {"crashing"}
            if TROUBLE in ("1", "brittle"):
                engine.brittleness = BRITTLENESS
        site.add_route(serving_site.BRIEF_PREFIX, "stream", "models", attempts=1)
        site.configure()
        instances = serving_site.start_instances(site, INSTANCES)
        wait_until(lambda: all(f"event=peers count={INSTANCES}" in it.log() for it in instances), "the instances know each other")
        for number in range(ROUNDS):
            begun = time.monotonic()
            crashing = serving_site.brief_request(parts=prompt(number, ("crashing", 30)))
            others = [(it, serving_site.brief_request(parts=prompt(f"{number}-{it.name}"))) for it in instances]
            site.call_concurrently([(instances[number % INSTANCES], crashing), *others])
            time.sleep(max(0.0, begun + ROUND_S - time.monotonic()))
        runs = sorted((it for it in site.runs if is_crashing(site.sent_requests[it.request])), key=lambda it: it.started_at)
        outcomes = list(site.outcomes)
        refused = sum(it.is_up is False for it in site.workers.values())
    for it in outcomes:
        spec = site.sent_requests[it.request]
        record.say(f"sent {it.request} at {record.at(it.sent_at)} to {site.instance_by_request[it.request]} "
                   f"crashing_part={is_crashing(spec)} status={it.status} complete={it.is_complete} error={it.error or 'none'}")
    for it in runs:
        record.say(f"ran {it.request} on {it.worker} at {record.at(it.started_at)} with the crashing part")
    sound = [it for it in outcomes if not is_crashing(site.sent_requests[it.request])]
    record.say(f"sound requests served: {sum(it.is_served for it in sound)} of {len(sound)}; cut or failed: "
               f"{sum(not it.is_served for it in sound)}; falls for want of room: {len(site.falls)}; down at the end: {refused}")
    if TROUBLE not in ("1", "part"):
        record.say("no crash was caused")
        return deployment.HELD
    if len(runs) < 5:
        record.say(f"BUDGET: only {len(runs)} crashes")
        return deployment.HELD
    late = [it for it in runs[5:] if it.started_at > runs[4].started_at + STABLE_S]
    record.say(f"BUDGET: {len(runs)} requests with the part reached engines; later than {STABLE_S:g} s after the fifth crash: "
               f"{len(late)}; allowed {LATE_LIMIT}")
    return deployment.BROKEN if len(late) > LATE_LIMIT else deployment.HELD


deployment.main(run, CASE)
