"""Plain workers answer with heads or bodies without end, to a hundred callers at each of two instances at the same time.

Guards against: an instance that keeps all bytes of faulty workers until its memory is used up; requests of other callers
that fail on such an instance.
"""

import asyncio
import os
import re

import serving_site
from processes import wait_until
from serving_site import brief_request, checkout_request, lookup_request
from transcript import Transcript

CALLERS = 100  # at each instance
BODY_LIMIT = 4 << 20  # bytes of a body that the platform permits
GROWTH_LIMIT_MB = 120  # of the memory of an instance
OTHER_ROUNDS = 20
TRIES = 4  # of a request that is refused as not run
ROUND_S = 0.1  # seconds
WORKERS = ("plain-0", "plain-1")


def peak_memory_mb(instance):
    status = open(f"/proc/{instance.process.child.pid}/status").read()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def give_slots(site, instances):
    """Gives the workers room for all callers, and waits until the instances know it: they would refuse some otherwise."""
    for name in WORKERS:
        change = f"event=upstream-changed upstream={name} "
        before = [it.log().count(change) for it in instances]
        site.workers[name].slots = 2 * CALLERS * len(instances)
        site.call_on_loop(site.workers[name].announce)
        wait_until(lambda: all(it.log().count(change) > n for it, n in zip(instances, before)), f"{name}'s slots are known")


async def send_as_client(site, instance, spec):
    """Sends a request, and again after the time that a refusal names."""
    for _ in range(TRIES):
        outcome = await site.send(instance, spec())
        if outcome.status != 503:
            break
        await asyncio.sleep(float(outcome.headers.get("retry-after", 0)))
    return outcome


async def send_others(site, instances, specs):
    """Sends requests in rounds; returns their last outcomes."""
    pending = []
    for _ in range(OTHER_ROUNDS):
        pending += [asyncio.ensure_future(send_as_client(site, it, spec)) for it in instances for spec in specs]
        await asyncio.sleep(ROUND_S)
    return await asyncio.gather(*pending)


def send_without_end(script, site, instances, part, names, other_specs):
    """Lets the named workers answer without end; requests of `other_specs` must be served meanwhile."""
    script.section(f"{len(names)} of {len(WORKERS)} workers: a {part} without end, {CALLERS} callers at each instance")
    before = [peak_memory_mb(it) for it in instances]
    runs = len(site.runs)
    for name in names:
        site.workers[name].endless_part = part
    calls = [site.start_call(it, checkout_request()) for it in instances for _ in range(CALLERS)]
    others = site.run_coroutine(send_others(site, instances, other_specs))
    outcomes = [it.result() for it in calls]
    for name in names:
        site.workers[name].endless_part = None
    growth = [peak_memory_mb(it) - was for it, was in zip(instances, before)]
    sent = {it.request for it in outcomes}
    endless = sum(it.request in sent and it.worker in names for it in site.runs[runs:])
    script.say(f"each of the callers gets a response: {all(it.status in (200, 502, 503, 504) for it in outcomes)}")
    script.say(f"requests of others are served: {all(it.is_served for it in others)}")
    script.say(f"the memory of each instance grows by less than {GROWTH_LIMIT_MB} MB: {max(growth) < GROWTH_LIMIT_MB}")
    if len(names) == len(WORKERS):
        script.say(f"most of the callers' requests get it: {endless > len(calls) / 2}")
    return f"{len(names)} workers, {part}: {endless} of {len(calls)}, growth {', '.join(f'{it:.0f}' for it in growth)} MB\n"


def run(folder):
    script = Transcript()
    os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=16")  # else a sanitized process keeps what it has freed
    with serving_site.open_site(folder, limits={"maxBodyBytes": BODY_LIMIT}) as site:
        instances = serving_site.start_instances(site, 2)
        give_slots(site, instances)
        figures = send_without_end(script, site, instances, "body", WORKERS[:1], (brief_request, lookup_request))
        for part in ("body", "head"):
            figures += send_without_end(script, site, instances, part, WORKERS, (brief_request,))
        (folder / "figures.txt").write_text(figures)
        serving_site.report_violations(script, site)
    return script.text()
