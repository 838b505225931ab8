"""Two instances on the users' platform while its store, its workers and the instances themselves fail.

Guards against: a request that runs twice or is refused after it ran; an answer that looks complete and is not; two
holders of orders; an upstream that is ordered to hold too much after an order whose answer was lost; a request that
crashes one upstream after the other; an instance that stops serving because the store is away.
"""

import time

import serving_site
from processes import wait_until
from serving_site import EXTRA, brief, checkout, describe, extra, lookup, note
from transcript import Transcript

LEASE_TABLE = "placement"
THAW_S = 0.3  # seconds in which a thawed instance's late orders are excused


def set_store(site, mode, *instances):
    for instance in instances or site.instances.values():
        site.store.faults[instance.name].mode = mode
        site.at_once(site.store.cut, instance.name)


def lose_answers(script, site, instance):
    script.section("an upstream runs requests and its answers are lost, cut or spoiled")
    for worker in ("plain-0", "plain-1"):
        site.workers[worker].lose_share = 1.0
    script.say(f"once, answer lost: {describe(site.call(instance, checkout()))}")
    site.workers["plain-1"].lose_share = 0.0
    script.say(f"read, one upstream loses answers: {describe(site.call(instance, lookup()))}")
    site.workers["plain-0"].lose_share = 0.0
    site.workers["plain-0"].garble_share = site.workers["plain-1"].garble_share = 1.0
    script.say(f"once, answer spoiled: {describe(site.call(instance, checkout()))}")
    site.workers["plain-0"].garble_share = site.workers["plain-1"].garble_share = 0.0
    site.workers["engine-2"].cut_share = 1.0
    script.say(f"stream, cut: complete={site.call(instance, brief('m-3')).is_complete}")
    site.workers["engine-2"].cut_share = 0.0
    site.workers["engine-0"].cut_share = 1.0
    served = [site.call(instance, note("m-0")).is_served for _ in range(6)]
    script.say(f"resumable streams, one of two upstreams cuts: served {sum(served)} of {len(served)}")
    site.workers["engine-0"].cut_share = 0.0


def lose_store(script, site, instances):
    script.section("the store is away for all")
    set_store(site, "silent")
    time.sleep(1.0)
    for instance in instances:
        script.say(f"{instance.name}> ready={site.is_ready(instance)} once: {describe(site.call(instance, checkout()))}")
    set_store(site, "serving")
    site.add_route(EXTRA, "idempotent", "board")
    site.configure()
    for instance in instances:
        site.wait_served(instance, extra(), f"{instance.name} serves the route that was added meanwhile")
    script.say("a change after its return is in force")
    script.section("the store forgets its history while it refuses one instance")
    set_store(site, "refusing", instances[1])
    site.remove_route(EXTRA)
    site.configure()
    site.at_once(site.store.forget_history)
    wait_until(lambda: site.call(instances[0], extra()).status == 404, "the route is gone on the other")
    script.say(f"refused instance: ready={site.is_ready(instances[1])} once: {describe(site.call(instances[1], checkout()))}")
    set_store(site, "serving", instances[1])
    wait_until(lambda: site.call(instances[1], extra()).status == 404, "the route is gone")
    script.say("both know the newest configuration")


def lose_orders(script, site, instances):
    script.section("a model is added while upstreams leave orders unanswered and carry them out late")
    for number in range(3):
        engine = site.workers[f"engine-{number}"]
        engine.mute_orders, engine.late_orders = 1, 1.2
    site.models["m-5"] = 0
    site.configure()
    site.wait_served(instances[0], brief("m-5"), "the added model is served")
    script.say("served")


def holder_of(site, instances):
    """Returns the instance that wrote the lease last, and the others."""
    names = [port for _, port, rows in site.store.writes if any(row[0] == LEASE_TABLE for row in rows)]
    holder = next(it for it in instances if it.name == names[-1])
    return holder, [it for it in instances if it is not holder]


def lose_holder(script, site, instances):
    script.section("the instance that gives the orders is killed, and the only upstream of a model restarts empty")
    holder, others = holder_of(site, instances)
    holder.process.kill()
    site.do(site.workers["engine-2"].crash(restart_after=0.5))
    site.wait_served(others[0], brief("m-3"), "the model is served again")
    script.say("served by orders of another instance")
    site.start_instance(holder.name, holder.zone)
    site.wait_ready(holder)
    script.section("the instance that gives the orders is frozen beyond its lease")
    holder, others = holder_of(site, instances)
    holder.process.pause()
    site.do(site.workers["engine-2"].crash(restart_after=0.5))
    site.wait_served(others[0], brief("m-3"), "the model is served again")
    holder.process.resume()
    time.sleep(THAW_S)
    site.wait_served(holder, brief("m-3"), "the thawed instance serves")
    script.say("served by orders of another instance, and by the thawed one")


def crash_upstreams(script, site, instances):
    script.section("a request that crashes whatever runs it comes again and again")
    deadly = brief("m-0", parts=(("dead", 50),))
    for number in range(3):
        site.workers[f"engine-{number}"].killers = {"dead"}
    for number in range(12):
        site.call(instances[number % 2], deadly)
        time.sleep(0.2)
    crashes = sum(1 for run in site.runs if site.asked[run.request] == deadly)
    script.say(f"ran at most four times: {crashes <= 4}")
    outcomes = [site.call(instance, deadly) for instance in instances]
    script.say(f"refused on both: {[it.promises_not_run or 400 <= it.status < 500 for it in outcomes]}")
    site.wait_served(instances[0], brief("m-0"), "others are served")
    script.say("another request for the model is served")


def statements(script, site, instances):
    script.section("an upstream says in its answers that it leaves, while its entry says ready")
    site.workers["plain-1"].says_leaving = True
    site.call_all([(instances[it % 2], checkout()) for it in range(12)])
    wait_until(lambda: len({it.instance for it in site.statements}) == 2, "both instances heard it")
    before = len(site.arrivals)
    served = sum(it.is_served for it in site.call_all([(instances[it % 2], checkout()) for it in range(8)]))
    script.say(f"served {served} of 8 elsewhere: {all('plain-1' not in it.worker for it in site.arrivals[before:])}")
    site.do(site.workers["plain-1"].crash(restart_after=0.1))
    born = f"plain-1@{site.workers['plain-1'].born}"
    wait_until(lambda: all(it.is_served for it in site.call_all([(instances[it % 2], checkout()) for it in range(8)]))
               and any(it.worker == born for it in site.arrivals), "the new process is used")
    script.say("used again after a new start")
    script.section("all upstreams of a service want a pause")
    for name in ("plain-0", "plain-1"):
        site.workers[name].pause = 5.0
    site.call_all([(instances[it % 2], checkout()) for it in range(8)])
    before = len(site.arrivals)
    outcomes = site.call_all([(instances[it % 2], checkout()) for it in range(8)])
    script.say(f"refused at once {sum(it.promises_not_run for it in outcomes)} of 8, arrivals {len(site.arrivals) - before}")
    for name in ("plain-0", "plain-1"):
        site.workers[name].pause = None
    for instance in instances:
        site.wait_served(instance, checkout(), "served after the pause")
    script.say("served after the pause")


def leave(script, site, instances):
    script.section("an upstream announces that it leaves")
    site.spawn(site.workers["plain-0"].drain(4.0))
    wait_until(lambda: site.drains, "the announcement")
    time.sleep(2.2)
    before = len(site.runs)
    outcomes = site.call_all([(instances[it % 2], checkout()) for it in range(6)])
    script.say(f"served {sum(it.is_served for it in outcomes)} of 6 elsewhere: {all(it.worker != 'plain-0' for it in site.runs[before:])}")


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder) as site:
        instances = serving_site.start_instances(site)
        lose_answers(script, site, instances[0])
        lose_store(script, site, instances)
        lose_orders(script, site, instances)
        lose_holder(script, site, instances)
        crash_upstreams(script, site, instances)
        statements(script, site, instances)
        leave(script, site, instances)
        serving_site.report_promises(script, site)
    return script.text()
