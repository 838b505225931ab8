"""Workers crash for reasons that have nothing to do with the requests that they run.

Guards against: a read that many callers share and that is refused from then on, by every instance, because it was in progress
on several workers when they crashed together.
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
    """Crashes the workers together while each of them runs the read, for some time."""
    async def crash_all():
        calls = [asyncio.ensure_future(site.send(it, read)) for it in instances * PRESSURE]
        while not all(it.running > 0 for it in workers):
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


def run(folder):
    script = Transcript()
    play_common_crash(script, folder / "common-crash")
    return script.text()
