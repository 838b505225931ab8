"""Upstreams refuse requests and send copies of their refusals later, on the connections of the refused requests.

Guards against: a copy that is taken for the response to the request that it names while that request is under way again on
the same connection. The caller is then told that a request did not run which runs, or the request runs at two upstreams.
"""

import asyncio

import serving_site
from serving_site import brief_request, checkout_request, lookup_request, note_request
from transcript import Transcript
from worker import RefusalRepeats

REQUESTS = 60  # of each section
CONCURRENT = 6
TRIES = 4  # of one request
RETRY_INTERVAL_S = 0.01
SHED_SHARE = 0.3
MIN_COPIES = 5  # without as many a section shows nothing
MAX_ROUNDS = 4  # in which a section sends its requests until it has as many

SECTIONS = (
    ("a copy as the next request is read", checkout_request, 503, RefusalRepeats()),
    ("two copies as the next request is read", checkout_request, 503, RefusalRepeats(copies=2)),
    ("a copy 1 ms later", checkout_request, 503, RefusalRepeats(delay=0.001)),
    ("a copy 15 ms later", checkout_request, 503, RefusalRepeats(delay=0.015)),
    ("a copy whose first half comes with the refusal", checkout_request, 503, RefusalRepeats(is_split=True)),
    ("a copy of status 421", checkout_request, 421, RefusalRepeats()),
    ("a copy of status 429", checkout_request, 429, RefusalRepeats()),
    ("streams that may not be resumed", brief_request, 503, RefusalRepeats()),
    ("streams that may be resumed", note_request, 503, RefusalRepeats()),
    ("requests that may be repeated", lookup_request, 503, RefusalRepeats()),
)


async def send_all(site, instances, spec, repeat):
    """Sends the requests, a few at a time; refused ones come back to the instance that refused them, or to the next one."""
    slots = asyncio.Semaphore(CONCURRENT)

    async def send(number):
        first = number % len(instances)
        order = instances[first:] + instances[:first] if repeat == "elsewhere" else [instances[first]]
        async with slots:
            return await site.send_until_served(order, spec, TRIES, RETRY_INTERVAL_S)

    return await asyncio.gather(*[send(it) for it in range(REQUESTS)])


def play(site, instances, spec, repeat):
    """Sends the requests until enough copies were sent, which depends on how connections are reused. Returns the outcomes and
    the number of copies."""
    outcomes, before = [], site.repeated_refusals
    for _ in range(MAX_ROUNDS):
        outcomes += site.run_coroutine(send_all(site, instances, spec, repeat))
        if site.repeated_refusals - before >= MIN_COPIES:
            break
    return outcomes, site.repeated_refusals - before


def set_faults(site, share, status=503, repeats=None):
    for it in site.workers.values():
        it.shed_share, it.shed_status, it.repeats = share, status, repeats


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site)
        for it in instances:
            site.wait_served(it, checkout_request(), "a request")
        for title, kind, status, repeats in SECTIONS:
            for repeat in ("at the same instance", "elsewhere"):
                script.section(f"{title}, refused requests come back {repeat}")
                set_faults(site, SHED_SHARE, status, repeats)
                outcomes, copies = play(site, instances, kind(), repeat)
                set_faults(site, 0.0)
                served = sum(it.is_served for it in outcomes)
                script.say(f"copies were sent: {copies >= MIN_COPIES}")
                script.say(f"more than half were served: {served > len(outcomes) / 2}")
        serving_site.report_violations(script, site)
    return script.text()
