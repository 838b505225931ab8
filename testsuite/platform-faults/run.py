"""Two instances on the users' platform while its store, its workers and the instances themselves fail.

Guards against: a request that runs twice or is refused after it ran; a truncated response that looks complete; two
instances that hold the placement lease at once; a process that ends when an upstream announces a body that cannot be
allocated; an upstream that is ordered to exceed its memory after the response to an order was lost; a request that crashes
one upstream after the other; an instance that stops serving because the store is unreachable.
"""

import signal
import time

import serving_site
from processes import wait_until
from serving_site import EXTRA_PREFIX, brief_request, checkout_request, describe, extra_request, lookup_request, note_request
from transcript import Transcript

LEASE_TABLE = "placement"
RESUME_GRACE_S = 0.3  # seconds after the resumption of an instance in which its late orders are not counted


def set_store(site, mode, *instances):
    for instance in instances or site.instances.values():
        site.store.faults[instance.name].mode = mode
        site.call_on_loop(site.store.abort_connections, instance.name)


def lose_responses(script, site, instance):
    script.section("an upstream runs requests and its answers are lost, cut or spoiled")
    for worker in ("plain-0", "plain-1"):
        site.workers[worker].lose_share = 1.0
    script.say(f"once, answer lost: {describe(site.call(instance, checkout_request()))}")
    site.workers["plain-1"].lose_share = 0.0
    script.say(f"read, one upstream loses answers: {describe(site.call(instance, lookup_request()))}")
    site.workers["plain-0"].lose_share = 0.0
    site.workers["plain-0"].garble_share = site.workers["plain-1"].garble_share = 1.0
    for _ in range(2):
        script.say(f"once, answer spoiled: {describe(site.call(instance, checkout_request()))}")
    site.workers["plain-0"].garble_share = site.workers["plain-1"].garble_share = 0.0
    site.workers["engine-2"].cut_share = 1.0
    script.say(f"stream, cut: complete={site.call(instance, brief_request('m-3')).is_complete}")
    site.workers["engine-2"].unframed_share = 1.0
    script.say(f"stream without length, cut: complete={site.call(instance, brief_request('m-3')).is_complete}")
    site.workers["engine-2"].cut_share = 0.0
    script.say(f"stream without length: {describe(site.call(instance, brief_request('m-3')))}")
    site.workers["engine-2"].unframed_share = 0.0
    site.workers["engine-0"].cut_share = 1.0
    for share in (0.0, 1.0):
        site.workers["engine-0"].unframed_share = share
        served = [site.call(instance, note_request("m-0")).is_served for _ in range(6)]
        script.say(f"resumable streams, one of two upstreams cuts, without length {share:g}: served {sum(served)} of {len(served)}")
    site.workers["engine-0"].cut_share = site.workers["engine-0"].unframed_share = 0.0


def lose_store(script, site, instances):
    script.section("the store is away for all")
    set_store(site, "silent")
    time.sleep(1.0)
    for instance in instances:
        script.say(f"{instance.name}> ready={site.is_ready(instance)} once: {describe(site.call(instance, checkout_request()))}")
    set_store(site, "serving")
    site.add_route(EXTRA_PREFIX, "idempotent", "board")
    site.configure()
    for instance in instances:
        site.wait_served(instance, extra_request(), f"{instance.name} serves the route that was added meanwhile")
    script.say("a change after its return is in force")
    script.section("the store forgets its history while it refuses one instance")
    set_store(site, "refusing", instances[1])
    site.remove_route(EXTRA_PREFIX)
    site.configure()
    site.call_on_loop(site.store.discard_feed_history)
    wait_until(lambda: site.call(instances[0], extra_request()).status == 404, "the other instance drops the route")
    script.say(f"refused instance: ready={site.is_ready(instances[1])} once: {describe(site.call(instances[1], checkout_request()))}")
    set_store(site, "serving", instances[1])
    wait_until(lambda: site.call(instances[1], extra_request()).status == 404, "the refused instance drops the route")
    script.say("both know the newest configuration")


def delay_orders(script, site, instances):
    script.section("a model is added while upstreams leave orders unanswered and carry them out late")
    for number in range(3):
        engine = site.workers[f"engine-{number}"]
        engine.unanswered_orders, engine.late_order_delay = 1, 1.2
    site.models["m-5"] = 0
    site.configure()
    site.wait_served(instances[0], brief_request("m-5"), "the added model is served")
    script.say("served")


def holder_of(site, instances):
    """Returns the instance that last wrote the placement lease, and the other instances."""
    names = [port for _, port, rows in site.store.writes if any(row[0] == LEASE_TABLE for row in rows)]
    holder = next(it for it in instances if it.name == names[-1])
    return holder, [it for it in instances if it is not holder]


def lose_holder(script, site, instances):
    script.section("the instance that gives the orders is killed, and the only upstream of a model restarts empty")
    holder, others = holder_of(site, instances)
    holder.process.kill()
    site.run_coroutine(site.workers["engine-2"].crash(restart_after=0.5))
    site.wait_served(others[0], brief_request("m-3"), "the model is served again")
    script.say("served by orders of another instance")
    site.start_instance(holder.name, holder.zone)
    site.wait_ready(holder)
    script.section("the instance that gives the orders is frozen beyond its lease")
    holder, others = holder_of(site, instances)
    holder.process.pause()
    site.run_coroutine(site.workers["engine-2"].crash(restart_after=0.5))
    site.wait_served(others[0], brief_request("m-3"), "the model is served again")
    holder.process.resume()
    time.sleep(RESUME_GRACE_S)
    site.wait_served(holder, brief_request("m-3"), "the resumed instance serves")
    script.say("served by orders of another instance, and by the thawed one")


def restart_next_holder(script, site, instances):
    script.section("the instance that gives the orders is stopped, and the next one is killed before it gives any")
    holder, (successor, *_) = holder_of(site, instances)
    site.wait_served(holder, brief_request("m-2/a0"), "an adapter is loaded")
    holder.process.send_signal(signal.SIGTERM)
    wait_until(lambda: "event=lease-released" in holder.log(), "the lease is released")
    writes = len(site.store.writes)
    wait_until(lambda: any(port == successor.name for _, port, _ in site.store.writes[writes:]), "the other instance holds the lease")
    successor.process.kill()
    site.start_instance(successor.name, successor.zone)
    site.wait_ready(successor)
    site.wait_served(successor, brief_request("m-2/a1"), "another adapter is loaded")
    script.say("served by orders of its next process")
    holder.process.wait()
    site.start_instance(holder.name, holder.zone)
    site.wait_ready(holder)


def crash_upstreams(script, site, instances):
    script.section("a request that crashes whatever runs it comes again and again")
    crashing_request = brief_request("m-0", parts=(("dead", 50),))
    for number in range(3):
        site.workers[f"engine-{number}"].crashing_prompt_parts = {"dead"}
    for number in range(12):
        site.call(instances[number % 2], crashing_request)
        time.sleep(0.2)
    crashes = sum(1 for run in site.runs if site.sent_requests[run.request] == crashing_request)
    script.say(f"ran at most four times: {crashes <= 4}")
    outcomes = [site.call(instance, crashing_request) for instance in instances]
    script.say(f"refused on both: {[it.reports_not_run or 400 <= it.status < 500 for it in outcomes]}")
    site.wait_served(instances[0], brief_request("m-0"), "other requests for the model are served")
    script.say("another request for the model is served")


def worker_notices(script, site, instances):
    script.section("an upstream says in its answers that it leaves, while its entry says ready")
    site.workers["plain-1"].announces_leaving = True
    site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(12)])
    wait_until(lambda: len({it.instance for it in site.notices}) == 2, "both instances received the leaving notice")
    before = len(site.arrivals)
    served = sum(it.is_served for it in site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(8)]))
    script.say(f"served {served} of 8 elsewhere: {all('plain-1' not in it.worker for it in site.arrivals[before:])}")
    change = "event=upstream-changed upstream=plain-1 "
    changes_before = [it.log().count(change) for it in instances]
    site.run_coroutine(site.workers["plain-1"].crash(restart_after=0.1))
    # Until an instance has read the entry of the new process, it counts only plain-0 as an upstream of the service.
    wait_until(lambda: all(it.log().count(change) > n for it, n in zip(instances, changes_before)),
               "both instances read the entry of the restarted worker")
    born = f"plain-1@{site.workers['plain-1'].born}"
    wait_until(lambda: all(it.is_served for it in site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(8)]))
               and any(it.worker == born for it in site.arrivals), "the restarted worker receives requests")
    script.say("used again after a new start")
    script.section("all upstreams of a service want a pause")
    for name in ("plain-0", "plain-1"):
        site.workers[name].pause = 5.0
    site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(8)])
    before = len(site.arrivals)
    outcomes = site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(8)])
    script.say(f"refused at once {sum(it.reports_not_run for it in outcomes)} of 8, arrivals {len(site.arrivals) - before}")
    for name in ("plain-0", "plain-1"):
        site.workers[name].pause = None
    for instance in instances:
        site.wait_served(instance, checkout_request(), "served after the pause")
    script.say("served after the pause")


def drain_upstream(script, site, instances):
    script.section("an upstream announces that it leaves")
    site.spawn(site.workers["plain-0"].drain(4.0))
    wait_until(lambda: site.draining_since, "the store has the draining entry")
    time.sleep(2.2)
    before = len(site.runs)
    outcomes = site.call_concurrently([(instances[it % 2], checkout_request()) for it in range(6)])
    script.say(f"served {sum(it.is_served for it in outcomes)} of 6 elsewhere: {all(it.worker != 'plain-0' for it in site.runs[before:])}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site)
        lose_responses(script, site, instances[0])
        lose_store(script, site, instances)
        delay_orders(script, site, instances)
        lose_holder(script, site, instances)
        restart_next_holder(script, site, instances)
        crash_upstreams(script, site, instances)
        worker_notices(script, site, instances)
        drain_upstream(script, site, instances)
        serving_site.report_violations(script, site)
    return script.text()
