"""One of two instances is stopped while requests run that take longer than its grace period; its callers go on using the
connections that they have, until the process is gone.

Guards against: requests that a stopping instance takes late and cuts off without a response at the end of its grace period;
requests that it keeps although no upstream will respond in time.
"""

import asyncio
import time

import caller
import serving_site
from serving_site import checkout_request, lookup_request
from transcript import Transcript

GRACE_S = 8.0
DRAIN_S = 3.0  # seconds after SIGTERM in which requests are still taken
SLOW_S = 20.0  # processing time of the slow requests, which may not be repeated
DEADLINE_MS = 25_000
KEPT_CLIENTS = 4
PAUSE_S = 0.02


async def use_kept_connection(site, instance, spec_of, outcomes):
    """Sends one request after the other on a kept connection until the process is gone."""
    connection = caller.Connection()
    while instance.process.is_running():
        outcomes.append(await site.send(instance, spec_of(), connection=connection))
        await asyncio.sleep(PAUSE_S)
    connection.close()


async def stop_under_load(site, instance):
    """Returns the outcomes of requests that run for long, and of short ones."""
    short = []
    clients = [asyncio.ensure_future(use_kept_connection(site, instance, lookup_request, short)) for _ in range(KEPT_CLIENTS)]
    slow = [asyncio.ensure_future(site.send(instance, slow_request())) for _ in range(2)]
    await asyncio.sleep(0.5)
    instance.process.send_signal(15)
    for _ in range(int(GRACE_S)):
        slow.append(asyncio.ensure_future(site.send(instance, slow_request())))
        await asyncio.sleep(1.0)
    outcomes = await asyncio.gather(*slow)
    await asyncio.gather(*clients)
    return list(outcomes), short


def slow_request():
    return checkout_request(deadline_ms=DEADLINE_MS)


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        site.routes = [{**it, "timeoutMs": 2 * DEADLINE_MS} for it in site.routes]
        site.configure()
        instance = serving_site.start_instances(site, 2)[0]
        site.wait_served(instance, checkout_request(), "a request is served")
        for name in ("plain-0", "plain-1"):
            site.workers[name].post_processing_time = SLOW_S
        script.section("an instance stops while requests run that take longer than its grace period")
        stopped_at = time.monotonic() + 0.5
        slow, short = site.run_coroutine(stop_under_load(site, instance))
        took = time.monotonic() - stopped_at
        ran = {it.request for it in site.runs}
        script.say(f"it exits within its grace period: {took < GRACE_S + 1 and instance.process.wait() == 0}")
        script.say(f"requests that ran and got no response: {sum(it.request in ran and it.status == 0 for it in slow + short)}")
        script.say(f"responses to requests that took too long: {sorted({it.status for it in slow if it.request in ran})}")
        late = [it for it in slow + short if it.request in ran and it.sent_at > stopped_at + DRAIN_S]
        script.say(f"requests taken later than {DRAIN_S:g} s after the signal: {len(late)}")
        script.say(f"short requests that it took are served: {all(it.is_served for it in short if it.request in ran)}")
        serving_site.report_violations(script, site)
    return script.text()
