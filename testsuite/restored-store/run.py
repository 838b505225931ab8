"""The platform's store comes back from a copy that is some seconds old, and assigns the same versions again.

Guards against: a route that was added after the restoration and is not served; a change that was accepted before it and is
not in force any more; an upstream that left and gets requests again; models that are not placed any more because no instance
can hold the lease; fencing tokens that go back.
"""

import time

import serving_site
from processes import wait_until
from serving_site import EXTRA_PREFIX, brief_request, checkout_request, extra_request, get_request
from transcript import Transcript

LATER_PREFIX = "/later/"
LONG_POLL_S = 5.0  # seconds after which each instance has read the newest version, also without changes
IN_FORCE_S = 2.0  # seconds in which a change is in force
PLACEMENT_S = 10.0  # longest time until a model without a copy is served


def later_request():
    return get_request(LATER_PREFIX + "1")


def set_store(site, mode):
    for faults in site.store.faults.values():
        faults.mode = mode
    for name in site.store.faults:
        site.call_on_loop(site.store.abort_connections, name)


def write_other_rows(site, version):
    """Writes rows that no instance reads until the store has reached the version."""
    while site.store.version < version:
        site.call_on_loop(site.store.put, "other", "row", {"version": site.store.version})


def is_served_everywhere(site, instances, spec):
    return all(site.call(it, spec).is_served for it in instances)


def lose_route(script, site, instances):
    script.section("the store loses an added route, and another one is added before the instances reach it again")
    copy = site.call_on_loop(site.store.copy)
    site.add_route(EXTRA_PREFIX, "idempotent", "board")
    site.configure()
    wait_until(lambda: is_served_everywhere(site, instances, extra_request()), "both serve the route")
    write_other_rows(site, copy[2] + 30)
    time.sleep(LONG_POLL_S)
    newest = site.store.version
    set_store(site, "refusing")
    site.restore_store(copy)
    site.add_route(LATER_PREFIX, "idempotent", "board")
    site.configure()
    write_other_rows(site, newest + 10)
    set_store(site, "serving")
    time.sleep(IN_FORCE_S)
    script.say(f"the lost route is served: {is_served_everywhere(site, instances, extra_request())}")
    script.say(f"the later route is served: {is_served_everywhere(site, instances, later_request())}")


def place_models(script, site, instances, model):
    end = time.monotonic() + PLACEMENT_S
    while time.monotonic() < end and not site.call(instances[0], brief_request(model)).is_served:
        time.sleep(0.1)
    script.say(f"a model without a copy is placed: {is_served_everywhere(site, instances, brief_request(model))}")


def lose_lease(script, site, instances):
    script.section("the store loses the last renewals of the lease")
    copy = site.call_on_loop(site.store.copy)
    wait_until(lambda: site.store.version >= copy[2] + 5, "the lease is renewed several times")
    set_store(site, "refusing")
    time.sleep(0.3)
    site.restore_store(copy)
    set_store(site, "serving")
    site.models["m-5"] = 0
    site.configure()
    place_models(script, site, instances, "m-5")


def lose_departure(script, site, instances):
    script.section("the store loses the entry of an upstream that leaves, and the upstream does not write it again")
    copy = site.call_on_loop(site.store.copy)
    leaving = site.workers["plain-1"]
    leaving.state = "draining"
    leaving.announce()
    time.sleep(IN_FORCE_S)
    write_other_rows(site, copy[2] + 30)
    time.sleep(LONG_POLL_S)
    set_store(site, "refusing")
    leaving.generation += 1  # ends its heartbeats
    leaving.is_up = False
    site.restore_store(copy)
    set_store(site, "serving")
    before = len(site.arrivals)
    for _ in range(10):
        site.call_concurrently([(it, checkout_request()) for it in instances])
        time.sleep(0.1)
    script.say(f"requests to it: {sum(it.worker == leaving.identity() for it in site.arrivals[before:])}")


def run(folder):
    script = Transcript()
    for lose in (lose_route, lose_lease, lose_departure):
        with serving_site.open_site(folder / lose.__name__) as site:
            instances = serving_site.start_instances(site)
            lose(script, site, instances)
            serving_site.report_violations(script, site)
    return script.text()
