"""Plain workers are brittle: each falls over if it has to refuse more than a few requests in a second for want of room.

Guards against: a crowd of requests of which each instance finds out by itself, with refusals of its own, that the workers
are full; requests that wait although no worker has room; workers that are not used fully, or not again after the crowd.
"""

import time

import serving_site
from processes import wait_until
from serving_site import checkout_request
from transcript import Transcript

REFUSALS_PER_S = 3.0
CROWD_S = 6.0
WAVE_INTERVAL_S = 0.1
WAVE_REQUESTS = 24  # about twice as many as the workers can serve
SLOTS, PROCESSING_S = 4, 0.2
CAPACITY = 2 * SLOTS * CROWD_S / PROCESSING_S  # requests that both workers can serve while the crowd is there
AT_ONCE_S = 0.5
LEARNING_ROUNDS = 6  # so that each instance has a response of each worker
MAX_FALLS = 2  # 2 and a tenth of the number of workers


def crowd(site, instances):
    outcomes, end = [], time.monotonic() + CROWD_S
    while time.monotonic() < end:
        pairs = [(instances[it % len(instances)], checkout_request()) for it in range(WAVE_REQUESTS)]
        outcomes += site.call_concurrently(pairs)
        time.sleep(WAVE_INTERVAL_S)
    return outcomes


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site, 4)
        wait_until(lambda: all("event=peers count=4" in it.log() for it in instances), "the instances know each other")
        for name in ("plain-0", "plain-1"):
            site.workers[name].slots, site.workers[name].processing_time = SLOTS, PROCESSING_S
            site.workers[name].brittleness = REFUSALS_PER_S
            site.call_on_loop(site.workers[name].announce)
        for _ in range(LEARNING_ROUNDS):
            for it in instances:
                site.call(it, checkout_request())
        script.section("a crowd comes")
        outcomes = crowd(site, instances)
        falls = len(site.falls)
        served = [it for it in outcomes if it.is_served]
        rest = [it for it in outcomes if not it.is_served]
        script.say(f"workers fell over at most twice: {falls <= MAX_FALLS}")
        script.say(f"half of their places were used: {len(served) >= CAPACITY / 2}")
        script.say(f"the others were refused at once: {all(it.status == 503 and it.elapsed < AT_ONCE_S for it in rest)}")
        script.section("the crowd is gone")
        time.sleep(5)
        outcomes = [site.call(it, checkout_request()) for it in instances * 3]
        script.say(f"served: {sum(it.is_served for it in outcomes)} of {len(outcomes)}")
        (folder / "figures.txt").write_text(f"falls {falls}, served {len(served)} of {len(served) + len(rest)}\n")
        serving_site.report_violations(script, site)
    return script.text()
