"""Upstreams state how many requests a second they accept from all instances together.

Guards against: instances that exceed the limit in sum, also while one of them restarts, joins or is paused; a limit that
keeps requests from upstreams without one; a model that is short of capacity because its only upstream limits its requests;
requests that wait although no upstream can accept them in time; an upstream that is not used again after its limit ended.
"""

import time

import serving_site
from processes import wait_until
from serving_site import brief_request, checkout_request
from transcript import Transcript

WAVE_INTERVAL_S = 0.2
WAVE_REQUESTS = 4  # 20 requests a second
LIGHT_INTERVAL_S = 0.5
MODEL_MOVE_S = 20.0  # longest time until another upstream serves the model
AT_ONCE_S = 0.5  # longest time to a refusal that does not wait for the upstream


def drive(site, seconds, instances=None):
    """Sends waves of requests to the instances in turn; returns the outcomes."""
    outcomes, end, number = [], time.monotonic() + seconds, 0
    while time.monotonic() < end:
        used = list(instances or site.instances.values())
        pairs = [(used[(number + it) % len(used)], checkout_request()) for it in range(WAVE_REQUESTS)]
        number += 1
        outcomes += site.call_concurrently(pairs)
        time.sleep(WAVE_INTERVAL_S)
    return outcomes


def arrivals_at(site, name, since):
    return [it for it in site.arrivals if it.worker == site.workers[name].identity() and it.at >= since]


def limit_one(script, site):
    script.section("one of two upstreams states a limit of 1 request a second")
    since = time.monotonic()
    site.call_on_loop(site.workers["plain-0"].state_limit, 1.0)
    outcomes = drive(site, 9.0)
    script.say(f"all served: {all(it.is_served for it in outcomes)}")
    script.say(f"the limited upstream is used: {len(arrivals_at(site, 'plain-0', since + 4.0)) > 0}")


def replace_instances(script, site, instances):
    script.section("meanwhile instances are killed, join, and are suspended")
    holder, others = holder_of(site, instances)
    site.begin_disruption(holder.name)
    holder.process.kill()
    outcomes = drive(site, 5.0, others)
    site.start_instance(holder.name, holder.zone)
    joined = site.start_instance("front-3", serving_site.ZONES[0])
    site.wait_ready(holder, joined)
    site.end_disruption(holder.name)
    outcomes += drive(site, 5.0)
    holder, others = holder_of(site, [*instances, joined])
    site.begin_disruption(holder.name)
    holder.process.pause()
    outcomes += drive(site, 4.0, others)
    holder.process.resume()
    site.end_disruption(holder.name)
    outcomes += drive(site, 4.0)
    script.say(f"all served: {all(it.is_served for it in outcomes)}")


def holder_of(site, instances):
    """Returns the instance that last wrote the placement lease, and the other instances."""
    names = [port for _, port, rows in site.store.writes if any(row[0] == "placement" for row in rows)]
    holder = next(it for it in instances if it.name == names[-1])
    return holder, [it for it in instances if it is not holder]


def limit_all(script, site):
    script.section("the other upstream states a limit as well")
    site.call_on_loop(site.workers["plain-1"].state_limit, 2.0)
    drive(site, 1.0)
    outcomes = drive(site, 6.0)
    refused = [it for it in outcomes if not it.is_served]
    script.say(f"some served: {len(refused) < len(outcomes)}, some refused: {len(refused) > 0}")
    script.say(f"refused as not run, with Retry-After: {all(it.reports_not_run and 'retry-after' in it.headers for it in refused)}")
    script.say(f"refused at once: {all(it.elapsed < AT_ONCE_S for it in refused)}")


def end_limits(script, site):
    script.section("the limits end")
    for name in ("plain-0", "plain-1"):
        site.call_on_loop(site.workers[name].state_limit, None)
    wait_until(lambda: all(it.is_served for it in drive(site, 0.1)), "all requests of a wave are served")
    drive(site, 3.0)
    since = time.monotonic()
    outcomes = drive(site, 3.0)
    share = len(arrivals_at(site, "plain-0", since)) / len(outcomes)
    script.say(f"all served: {all(it.is_served for it in outcomes)}, used again: {share > 0.2}")


def limit_only_engine(script, site, instances):
    script.section("the only upstream of a model states a limit below the demand for it")
    site.call_on_loop(site.workers["engine-2"].state_limit, 0.5)

    def is_wave_served():
        """Sends little load, so that the load alone is no reason for another copy of the model."""
        time.sleep(LIGHT_INTERVAL_S)
        return all(it.is_served for it in site.call_concurrently([(it, brief_request("m-3", 4)) for it in instances[:2]]))
    # The first waves are served before all instances know the limit.
    wait_until(lambda: all(is_wave_served() for _ in range(4)), "four waves in a row are served", MODEL_MOVE_S)
    script.say(f"served by another upstream: {all(is_wave_served() for _ in range(3))}")
    site.call_on_loop(site.workers["engine-2"].state_limit, None)


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site, 3)
        limit_one(script, site)
        replace_instances(script, site, instances)
        limit_all(script, site)
        end_limits(script, site)
        limit_only_engine(script, site, instances)
        serving_site.report_violations(script, site)
    return script.text()
