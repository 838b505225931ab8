"""Instances lose their path to all workers, while callers, the store and the other instances still reach them.

Guards against: requests that are refused by an instance that is cut off while others could serve them; requests that wait
for connections that have fallen silent; a lease holder that keeps the lease although its orders reach no worker; prompt
parts that are quarantined because an instance takes its own loss of connections for crashes; requests of other instances
that are cut off at a planned stop.
"""

import concurrent.futures
import time

import serving_site
from platform_site import STABLE_S
from processes import wait_until
from serving_site import brief_request, checkout_request, lookup_request, note_request
from transcript import Transcript

INSTANCES = ("front-0", "front-1", "front-2")
KINDS = (brief_request, note_request, checkout_request, lookup_request)
ROUNDS = 6
DETECTION_S = 0.2  # pause between the requests from which an instance learns that it is cut off


def requests():
    return [kind() for _ in range(ROUNDS) for kind in KINDS]


def call_all(site, instances):
    specs = requests()
    outcomes = [site.call(instances[number % len(instances)], it) for number, it in enumerate(specs)]
    return f"served: {sum(it.is_served for it in outcomes)} of {len(outcomes)}"


def lose_path(script, site, instances, how):
    script.section(f"cut off, open connections: {how}: {len(instances)} of 3")
    call_all(site, instances)
    for it in instances:
        site.cut_from_workers(it, how)
    end = time.monotonic() + STABLE_S
    while time.monotonic() < end:
        site.call_concurrently([(it, kind()) for it in instances for kind in KINDS])
        time.sleep(DETECTION_S)
    script.say(call_all(site, instances))
    for it in instances:
        site.mend_path(it)
    time.sleep(1)
    relayed = sum(it.log().count("event=request-relayed") for it in instances)
    script.say(f"the path is back, {call_all(site, instances)}")
    script.say(f"handed to others since: {sum(it.log().count('event=request-relayed') for it in instances) - relayed}")


def stop_the_other(script, site, cut_off, other):
    """The only instance that serves the requests of another one is stopped while it does."""
    script.section("the instance that serves the requests of another one stops")
    for it in ("engine-0", "engine-1", "engine-2"):
        site.workers[it].event_interval = 0.1
    site.cut_from_workers(cut_off)
    call_all(site, [cut_off])
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        calls = [pool.submit(site.call, cut_off, brief_request()) for _ in range(4)]
        time.sleep(0.4)
        other.process.terminate()
        outcomes = [it.result() for it in calls]
    script.say(f"streams that it had begun are complete: {sum(it.is_served for it in outcomes)} of 4")
    site.mend_path(cut_off)
    other.process.wait()


def cut_off_holder(script, site, instances):
    script.section("the lease holder is cut off")
    holder = next(it for it in instances if it.log().rfind("event=lease-acquired") > it.log().rfind("event=lease-lost"))
    site.cut_from_workers(holder)
    end = time.monotonic() + 1
    while time.monotonic() < end:
        site.call_concurrently([(holder, kind()) for kind in KINDS])
    others = [it for it in instances if it is not holder]
    wait_until(lambda: any(it.log().rfind("event=lease-acquired") > it.log().rfind("event=lease-lost") for it in others),
               "another instance holds the lease", 20)
    site.wait_served(others[0], brief_request("m-4"), "a model that is loaded nowhere")
    site.mend_path(holder)
    script.say("another instance places models")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder, paths=INSTANCES) as site:
        instances = serving_site.start_instances(site, 3)
        wait_until(lambda: all("event=peers count=3" in it.log() for it in instances), "the instances know each other")
        for how in ("reset", "silent", "live on"):
            lose_path(script, site, instances[:1], how)
        lose_path(script, site, instances[:2], "reset")
        cut_off_holder(script, site, instances)
        quarantined = sum(it.log().count("event=quarantine kind") for it in instances)
        script.say(f"quarantined: {quarantined}")
        instances[2].process.kill()
        stop_the_other(script, site, instances[0], instances[1])
        serving_site.report_violations(script, site)
    return script.text()
