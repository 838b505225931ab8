"""One of two plain workers answers with bodies without end; a hundred callers at one instance get them at the same time.

Guards against: an instance that keeps all bytes of a faulty worker until its memory is used up; requests of other callers
that fail on such an instance.
"""

import os
import re
import time

import serving_site
from processes import wait_until
from serving_site import brief_request, checkout_request, lookup_request
from transcript import Transcript

CALLERS = 100
BODY_LIMIT = 4 << 20  # bytes of a body that the platform permits
GROWTH_LIMIT_MB = 120  # of the memory of an instance
OTHER_ROUNDS = 20
ROUND_S = 0.1  # seconds


def peak_memory_mb(instance):
    status = open(f"/proc/{instance.process.child.pid}/status").read()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def give_slots(site, instance):
    """Gives each plain worker room for all callers, and waits until the instance knows it: it would refuse some otherwise."""
    for name in ("plain-0", "plain-1"):
        change = f"event=upstream-changed upstream={name} "
        changes = instance.log().count(change)
        site.workers[name].slots = 2 * CALLERS
        site.call_on_loop(site.workers[name].announce)
        wait_until(lambda: instance.log().count(change) > changes, f"the instance knows the slots of {name}")


def run(folder):
    script = Transcript()
    os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=16")  # else a sanitized process keeps what it has freed
    with serving_site.open_site(folder, limits={"maxBodyBytes": BODY_LIMIT}) as site:
        instance = serving_site.start_instances(site, 1)[0]
        give_slots(site, instance)
        site.wait_served(instance, lookup_request(), "a read is served")
        before = peak_memory_mb(instance)
        script.section("a worker sends bodies without end to a hundred callers at once")
        site.workers["plain-0"].endless_share = 1.0
        calls = [site.start_call(instance, checkout_request()) for _ in range(CALLERS)]
        others = []
        for _ in range(OTHER_ROUNDS):
            others += site.call_concurrently([(instance, brief_request()), (instance, lookup_request())])
            time.sleep(ROUND_S)
        outcomes = [it.result() for it in calls]
        growth = peak_memory_mb(instance) - before
        script.say(f"each of the callers gets a response: {all(it.status in (200, 502, 503, 504) for it in outcomes)}")
        script.say(f"streams and reads of others are served: {all(it.is_served for it in others)}")
        script.say(f"the memory of the instance grows by less than {GROWTH_LIMIT_MB} MB: {growth < GROWTH_LIMIT_MB}")
        (folder / "figures.txt").write_text(f"peak memory before {before:.0f} MB, growth {growth:.0f} MB\n")
        serving_site.report_violations(script, site)
    return script.text()
