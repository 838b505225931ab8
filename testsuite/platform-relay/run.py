"""Six instances of one availability zone, two of which read the store for the others.

Guards against: calls to the store that grow with the number of instances; an instance that knows nothing new because its
reader is cut off from the store, suspended or killed; a reader that wakes with old knowledge and takes the configuration of
others back; two holders of the placement lease because reports go through a reader.
"""

import re
import time

import serving_site
from processes import wait_until
from serving_site import EXTRA_PREFIX, describe, extra_request, lookup_request
from transcript import Transcript

INSTANCES = 6
SETTLED_S = 1.5  # seconds without calls after which the instances have settled
MEASURED_S = 4.0  # seconds in which calls to the store are counted
LARGE_DEPLOYMENT = {"configMs": 4000}  # bound of the deployments that have readers
IN_FORCE_S = 3.0  # time from a change of the configuration to its effect on every running instance


def start(site):
    return [site.start_instance(f"front-{number}", "quay-a") for number in range(INSTANCES)]


def assigned_readers(instance):
    """Returns the names of the readers that the instance was last told, or an empty list."""
    found = re.findall(r"event=readers readers=(\S*) ", instance.log())
    return sorted(found[-1].split(",")) if found and found[-1] else []


def last_source(instance):
    found = re.findall(r"event=table-source source=(\S+) ", instance.log())
    return found[-1] if found else ""


def is_relaying(instances):
    readers = assigned_readers(instances[0])
    return len(readers) == 2 and all(
        assigned_readers(it) == readers and (it.name in readers or last_source(it) in readers) for it in instances)


def split(instances):
    readers = assigned_readers(instances[0])
    return [it for it in instances if it.name in readers], [it for it in instances if it.name not in readers]


def change_route(script, site, instances, is_added, what):
    """Adds or removes a route and checks that each of the instances applies the change in time."""
    if is_added:
        site.add_route(EXTRA_PREFIX, "idempotent", "board")
    else:
        site.remove_route(EXTRA_PREFIX)
    site.configure()
    end = time.monotonic() + IN_FORCE_S
    for instance in instances:
        wait_until(lambda it=instance: site.call(it, extra_request()).is_served == is_added, f"{instance.name}: {what}",
                   max(0.5, end - time.monotonic()))
    script.say(f"{what}: in force on {len(instances)} instances")


def count_calls(site, seconds):
    """Returns the number of calls to the store by each instance within some seconds; the holder calls it for its lease."""
    before = dict(site.store.calls)
    time.sleep(seconds)
    return {name: site.store.calls[name] - before[name] for name in before}


def compare_calls(script, site, readers, others):
    script.section("in calm only the readers call the store, and the holder for its lease")
    holder = site.store.read("placement", "lease")["holder"]
    names = [it.name for it in others if it.name != holder]
    # A new reader answers once it has read the tables anew.
    wait_until(lambda: not any(count_calls(site, SETTLED_S)[it] for it in names), "the others have left the store alone", 30)
    calls = count_calls(site, MEASURED_S)
    script.say(f"calls of the others: {sum(calls[it] for it in names)}")
    script.say(f"each reader calls: {all(calls[it.name] > 0 for it in readers)}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder, instance_settings=["BULRUSH_RELAY_MIN_INSTANCES=3"], bounds=LARGE_DEPLOYMENT) as site:
        instances = start(site)
        site.wait_ready(*instances)
        wait_until(lambda: is_relaying(instances), "the tables are read through two readers", 30)
        readers, others = split(instances)
        compare_calls(script, site, readers, others)
        script.section("changes while readers fail")
        change_route(script, site, instances, True, "calm")
        site.begin_disruption(readers[0].name)
        site.store.faults[readers[0].name].mode = "silent"
        site.call_on_loop(site.store.abort_connections, readers[0].name)
        change_route(script, site, [readers[1], *others], False, "one reader cut off from the store")
        site.store.faults[readers[0].name].mode = "serving"
        site.end_disruption(readers[0].name)
        wait_until(lambda: not site.call(readers[0], extra_request()).is_served, "the reader knows the change")
        site.begin_disruption(readers[1].name)
        readers[1].process.pause()
        change_route(script, site, [readers[0], *others], True, "the other reader suspended")
        readers[1].process.resume()
        site.end_disruption(readers[1].name)
        served = all(site.call(it, extra_request()).is_served for _ in range(20) for it in others)
        script.say(f"after it has woken, the change stays in force: {served}")
        for reader in readers:
            site.begin_disruption(reader.name)
            reader.process.kill()
        change_route(script, site, others, False, "both readers killed")
        for reader in readers:
            site.start_instance(reader.name, reader.zone)
            site.end_disruption(reader.name)
        site.wait_ready(*readers)
        wait_until(lambda: is_relaying(instances), "the tables are read through two readers again", 30)
        for instance in instances:
            script.say(f"{instance.name}> read: {describe(site.call(instance, lookup_request()))}")
        script.section("stop")
        script.say(f"exit statuses {[it.process.terminate() for it in instances]}")
        serving_site.report_violations(script, site)
    return script.text()
