"""Workers crash for reasons that have nothing to do with the requests that they run.

Guards against: a read that many callers share and that is refused from then on, by every instance, because it was in progress
on several workers when they crashed together; a request that stays refused for as long as the quarantine lasts, although what
it was blamed for had other causes.
"""

import asyncio
import time

import serving_site
from platform_site import STABLE_S
from serving_site import get_request, start_instances
from transcript import Transcript

READ_S = 0.3  # seconds that a worker takes for a read
AWAY_S = 1.5  # seconds for which crashed workers are away
PRESSURE = 4  # reads in progress at each instance
ROUNDS = 10
ROUND_S = 0.2  # seconds
TRIAL_S = 20  # seconds after the last crash by which a sound request is served again


def plain_workers(site):
    return [it for it in site.workers.values() if it.service == "board"]


def open_site(folder):
    return serving_site.open_site(folder, engines=1, placed=(("m-0",),), models={"m-0": 0})


def start(site):
    """Adds a third worker to the service without models, slows its workers, and starts three instances."""
    site.add_plain_worker("plain-2", serving_site.ZONES[2])
    for worker in plain_workers(site):
        worker.processing_time = READ_S
    return start_instances(site, 3)


def crash_while_busy(site, instances, read, workers):
    """Crashes the workers together while they run the read, for some time."""
    async def crash_all():
        calls = [asyncio.ensure_future(site.send(it, read)) for it in instances * PRESSURE]
        while sum(it.running for it in workers) + sum(it.done() for it in calls) < len(calls):
            await asyncio.sleep(0.002)
        await asyncio.gather(*[it.crash(restart_after=AWAY_S) for it in workers])
        await asyncio.gather(*calls)
    for worker in workers:
        site.begin_disruption(worker.name)
    site.run_coroutine(crash_all())
    for worker in workers:
        site.end_disruption(worker.name)


def share_served(site, instances, read):
    """Sends the read to each instance again and again; returns how many were served and how many were sent."""
    served = 0
    for _ in range(ROUNDS):
        served += sum(it.is_served for it in site.call_concurrently([(it, read) for it in instances]))
        time.sleep(ROUND_S)
    return served, ROUNDS * len(instances)


def play_common_crash(script, folder):
    script.section("all workers of a service crash at once, each while it runs the same read")
    with open_site(folder) as site:
        instances = start(site)
        read = get_request(serving_site.LOOKUP_PREFIX + "state")
        for instance in instances:
            site.wait_served(instance, read, "the read is served")
        crash_while_busy(site, instances, read, plain_workers(site))
        time.sleep(STABLE_S)
        served, sent = share_served(site, instances, read)
        script.say(f"reads served after the outage: {served} of {sent}")
        serving_site.report_violations(script, site)


def wait_served_by(site, instances, read, end):
    """Sends the read until an instance has served it; returns the number of tries that were refused."""
    refused = 0
    while time.monotonic() < end:
        outcomes = site.call_concurrently([(it, read) for it in instances])
        if any(it.is_served for it in outcomes):
            return refused
        refused += sum(it.status == 503 for it in outcomes)
        time.sleep(ROUND_S)
    return refused


def play_wrong_quarantine(script, folder):
    script.section("all workers crash twice, each time while they run a read that was never served")
    with open_site(folder) as site:
        instances = start(site)
        for instance in instances:
            site.wait_served(instance, get_request(serving_site.LOOKUP_PREFIX + "other"), "another read is served")
        read = get_request(serving_site.LOOKUP_PREFIX + "state")
        for _ in range(2):
            crash_while_busy(site, instances, read, plain_workers(site))
        refused = wait_served_by(site, instances, read, time.monotonic() + TRIAL_S)
        script.say(f"the read is refused at first: {refused > 0}")
        time.sleep(STABLE_S)
        served, sent = share_served(site, instances, read)
        script.say(f"reads served {TRIAL_S:g} s later: {served} of {sent}")
        serving_site.report_violations(script, site)


def run(folder):
    script = Transcript()
    play_common_crash(script, folder / "common-crash")
    play_wrong_quarantine(script, folder / "wrong-quarantine")
    return script.text()
