"""Engines of two software versions serve side by side, and callers take up broken streams at any instance.

Guards against: a stream with events of two versions, in one response or over the tries of a caller; streams that are not
continued although an engine of their version serves; both also when the instance is lost at which the stream began, or the
lease holder with it, and the callers come back at once; the version that an instance names which was suspended while an engine
was restarted with another one under the same id; a stream that is taken up at an instance which knows no other version, since
it was suspended while the first engine of a new one joined, or since all instances were killed after the old one had left.
"""

import concurrent.futures
import dataclasses
import time

import serving_site
from processes import wait_until
from serving_site import note_request
from transcript import Transcript

REPORT_S = 1.0  # seconds after which other instances know of a stream
ENGINES = ("engine-0", "engine-1", "engine-2")
TAKE_UP_TRIES = 4
EVENT_INTERVAL_S = 0.15  # a stream takes 1.5 s
START_INTERVAL_S = 0.06
FIRST_EVENT_S = 0.35  # seconds in which each stream has its first event


def spread_requests(count):
    """Returns requests without common prompt parts, which are spread over the engines."""
    return [note_request("m-0", parts=((f"own{it}", 50),)) for it in range(count)]


def break_streams(site, instances, requests):
    """Returns the broken streams of callers, all with at least one event."""
    for engine in ENGINES:
        site.workers[engine].cut_share = 1.0
    outcomes = site.call_concurrently([(instances[it % len(instances)], request) for it, request in enumerate(requests)])
    for engine in ENGINES:
        site.workers[engine].cut_share = 0.0
    return [it for it in outcomes if it.events and not it.is_complete]


def lose_instance(site, lost, count):
    """Kills an instance while it serves streams that began one after the other; returns those that broke off."""
    site.begin_disruption(lost.name)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = []
        for _ in range(count):
            calls.append(pool.submit(site.call, lost, note_request("m-0")))
            time.sleep(START_INTERVAL_S)
        time.sleep(FIRST_EVENT_S)
        lost.process.kill()
        outcomes = [it.result() for it in calls]
    return [it for it in outcomes if it.events and not it.is_complete]


def lose_each_instance(script, site, instances):
    """Kills each instance in turn, and so the lease holder too; the callers take their streams up at once, with one try."""
    for engine in ("engine-0", "engine-1"):
        site.workers[engine].event_interval = EVENT_INTERVAL_S
    for lost in instances:
        broken = lose_instance(site, lost, 12)
        others = [it for it in instances if it is not lost]
        went_on = [take_up(site, others[it % len(others)], stream, tries=1) for it, stream in enumerate(broken)]
        script.say(f"streams broke off: {len(broken)}, go on at once: {sum(went_on)}")
        site.start_instance(lost.name, lost.zone)
        site.wait_ready(lost)
        site.end_disruption(lost.name)


def restart_engine(site, engine, version):
    """Restarts an engine under its id with another version and with m-0 loaded."""
    def load_and_announce():
        engine.models = {"m-0": set()}
        engine.announce()
    engine.version = version
    site.run_coroutine(engine.crash(restart_after=0.05))
    site.call_on_loop(load_and_announce)


def begin_streams_with_old_directory(site, instance, count):
    """Suspends an instance while engine-2 restarts, and kills it after it woke and began streams there; returns those that
    broke off."""
    site.begin_disruption(instance.name)
    instance.process.pause()
    end_pending_read(site)
    restart_engine(site, site.workers["engine-2"], "v1")
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        calls = [pool.submit(site.call, instance, it) for it in spread_requests(count)]
        time.sleep(REPORT_S)
        instance.process.resume()
        time.sleep(FIRST_EVENT_S)
        instance.process.kill()
        outcomes = [it.result() for it in calls]
    return [it for it in outcomes if it.events and not it.is_complete]


def join_while_suspended(script, site, instances):
    """The first engine of v2 joins while an instance is suspended, which wakes as streams of that version are taken up."""
    suspended, others = instances[2], instances[:2]
    site.begin_disruption(suspended.name)
    suspended.process.pause()
    end_pending_read(site)
    restart_engine(site, site.workers["engine-1"], "v2")
    wait_until(lambda: all(it.log().count("upstream-changed upstream=engine-1") > 1 for it in others), "the others know v2")
    broken = break_streams(site, others, spread_requests(12))
    suspended.process.resume()
    at_new_version = {it.request for it in site.runs if it.version == "v2"}
    took_up = [take_up(site, suspended, it, tries=1) for it in broken if it.request in at_new_version]
    script.say(f"streams began at the new version: {len(took_up) > 0}")
    site.end_disruption(suspended.name)


def kill_all(site, instances):
    for it in instances:
        site.begin_disruption(it.name)
        it.process.kill()
    for it in instances:
        site.start_instance(it.name, it.zone)
    site.wait_ready(*instances)
    for it in instances:
        site.end_disruption(it.name)


def lose_version(script, site, instances):
    """A version is replaced by another one; then all instances are killed, so that none has seen it."""
    script.section("the engine of a version leaves")
    for engine in ENGINES:
        restart_engine(site, site.workers[engine], "v3")
    time.sleep(2 * REPORT_S)
    broken = break_streams(site, instances, spread_requests(24))
    began_at = {it.request: it.worker for it in site.runs}
    lost = began_at[broken[0].request]
    site.run_coroutine(site.workers[lost].crash())
    wait_until(lambda: site.store.read("servers", lost) is None, "its entry lapses")
    for engine in ENGINES:
        if engine != lost:
            restart_engine(site, site.workers[engine], "v4")
    time.sleep(REPORT_S)
    of_lost = [it for it in broken if began_at[it.request] == lost]
    went_on = [take_up(site, instances[0], it, tries=1) for it in of_lost]
    script.say(f"streams that began there go on: {any(went_on)}")
    script.section("all instances are killed")
    kill_all(site, instances)
    went_on = [take_up(site, instances[0], it, tries=1) for it in of_lost]
    script.say(f"streams that began there go on: {any(went_on)}")


def end_pending_read(site):
    """Ends the pending reads of the entries, so that the instances read what follows some time later."""
    board = site.workers["plain-0"]
    board.slots += 1
    site.call_on_loop(board.announce)
    time.sleep(0.1)


def suspend_instance(script, site, instances):
    for engine in ("engine-0", "engine-1", "engine-2"):
        site.workers[engine].event_interval = EVENT_INTERVAL_S
    restart_engine(site, site.workers["engine-2"], "v2")
    time.sleep(2 * REPORT_S)
    broken = begin_streams_with_old_directory(site, instances[0], 12)
    ran_at = {it.request: it.worker for it in site.runs}
    at_restarted = [it for it in broken if ran_at[it.request] == "engine-2"]
    for number, stream in enumerate(broken):
        take_up(site, instances[1 + number % 2], stream, tries=1)
    script.say(f"streams began at the restarted engine: {len(at_restarted) > 0}")
    site.start_instance(instances[0].name, instances[0].zone)
    site.wait_ready(instances[0])
    site.end_disruption(instances[0].name)


def take_up(site, instance, broken, tries=TAKE_UP_TRIES):
    """Takes a stream up as a caller does, with a few tries."""
    headers = (("Last-Event-Id", str(broken.events[-1][0])), ("Resumes", broken.request))
    spec = dataclasses.replace(site.sent_requests[broken.request], extra_headers=headers)
    for _ in range(tries):
        outcome = site.call(instance, spec)
        if outcome.is_served:
            return True
        time.sleep(float(outcome.headers.get("retry-after", 0.2)))
    return False


def take_up_all(script, site, instances, broken):
    went_on = [take_up(site, instances[it % len(instances)], stream) for it, stream in enumerate(broken)]
    script.say(f"streams broke off: {len(broken) > 0}, go on: {all(went_on)}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder, placed=(("m-0",), ("m-0",), ("m-3",))) as site:
        instances = serving_site.start_instances(site, 3)
        script.section("an instance is suspended while the first engine of a version joins")
        join_while_suspended(script, site, instances)
        wait_until(lambda: all("upstream=engine-1" in it.log() for it in instances), "the instances know the version")
        script.section("callers take streams up at other instances")
        take_up_all(script, site, instances[1:], break_streams(site, instances[:1], [note_request("m-0")] * 12))
        script.section("the instance at which they began is killed")
        for lost in instances[:2]:
            site.begin_disruption(lost.name)
            broken = break_streams(site, [lost], [note_request("m-0")] * 12)
            time.sleep(REPORT_S)
            lost.process.kill()
            take_up_all(script, site, [it for it in instances if it is not lost], broken)
            site.start_instance(lost.name, lost.zone)
            site.wait_ready(lost)
            site.end_disruption(lost.name)
        script.section("an instance is killed while it serves streams")
        lose_each_instance(script, site, instances)
        script.section("an instance is suspended while an engine is restarted with another version")
        suspend_instance(script, site, instances)
        lose_version(script, site, instances)
        serving_site.report_violations(script, site)
    return script.text()
