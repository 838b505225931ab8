"""Three instances receive requests of which some share a prompt part that crashes every engine that runs them.

Guards against: requests that differ in everything but one prompt part and crash one engine after the other; requests that
are refused because they share their other prompt parts with the crashing ones, in particular if the engines crash after the
first event, or say that they are brittle; a quarantine that is forgotten when all instances are killed; trials of a quarantined
request that cost more than an engine now and then.
"""

import time

import serving_site
from serving_site import brief_request
from transcript import Transcript

MODELS = {"m-0": 0, "m-1": 0}
PLACED = (("m-0",), ("m-0",), ("m-0", "m-1"))
BRITTLENESS = 20.0  # refusals a second that an engine stands; it refuses none
ROUNDS = 45
ROUND_S = 0.3  # seconds
STABLE_S = 3.0  # seconds after the fifth crash from which crashing requests are limited
LATE_RUN_LIMIT = 3  # crashing requests that may still reach engines after that
KNOWN_AGAIN_S = 1.0  # seconds after which restarted instances know what is quarantined
SETTLED_ROUNDS = 12  # last rounds without a crash, in which all other requests must be served
TRIAL_LIMIT = 1  # rounds with a crash among as many last rounds: trials of the quarantined part are seconds apart
SAME_REQUEST_ROUNDS = 80  # long enough for one trial


def prompt(number, *shared):
    return (("house", 100), ("opera", 50), *shared, (f"own-{number}", 20))


def send_round(site, instances, number):
    """Sends one crashing request and one other request to each instance; returns the outcomes of the others."""
    crashing = brief_request(parts=prompt(number, ("crashing", 30)))
    others = [(it, brief_request(parts=prompt(f"{number}-{it.name}"))) for it in instances]
    return site.call_concurrently([(instances[number % len(instances)], crashing), *others])[1:]


def crashing_runs(site):
    """Returns the times at which engines began to run crashing requests, in order."""
    return sorted(run.started_at for run in site.runs if ("crashing", 30) in site.sent_requests[run.request].parts)


def restart_all(script, site, instances):
    """Kills all instances at once, and sends crashing requests again when they are back."""
    script.section("all instances are killed and started again")
    for instance in instances:
        site.begin_disruption(instance.name)
        instance.process.kill()
    before = len(crashing_runs(site))
    for instance in instances:
        site.start_instance(instance.name, instance.zone)
    site.wait_ready(*instances)
    for instance in instances:
        site.wait_served(instance, brief_request(parts=prompt("again")), "another request is served")
        site.end_disruption(instance.name)
    time.sleep(KNOWN_AGAIN_S)
    for number in range(ROUNDS, ROUNDS + 6):
        send_round(site, instances, number)
    script.say(f"crashing requests that reach engines again: {len(crashing_runs(site)) - before}")


def check_quarantine(script, site, instances):
    """Sends crashing requests and others, and checks that only the former end up refused."""
    served, has_crash = [], []
    for number in range(ROUNDS):
        started, before = time.monotonic(), len(crashing_runs(site))
        count = sum(it.is_served for it in send_round(site, instances, number))
        has_crash.append(len(crashing_runs(site)) > before)
        if not has_crash[-1]:  # a crash, also that of a trial, may end other requests
            served.append(count)
        time.sleep(max(0.0, started + ROUND_S - time.monotonic()))
    crashes = crashing_runs(site)
    late = [it for it in crashes[5:] if it > crashes[4] + STABLE_S]
    script.say(f"engines crashed: {len(crashes) > 0}")
    script.say(f"at most {LATE_RUN_LIMIT} such requests ran later than {STABLE_S:g} s after the fifth crash: {len(late) <= LATE_RUN_LIMIT}")
    is_settled = sum(has_crash[-SETTLED_ROUNDS:]) <= TRIAL_LIMIT
    are_served = served[-SETTLED_ROUNDS:] == [len(instances)] * SETTLED_ROUNDS
    script.say(f"requests that share the other parts are served: {is_settled and are_served}")


def play(script, folder, title, restarts_all=False, **engine_attributes):
    script.section(title)
    with serving_site.open_site(folder, placed=PLACED, models=MODELS) as site:
        instances = serving_site.start_instances(site, 3)
        for number in range(3):
            vars(site.workers[f"engine-{number}"]).update(crashing_prompt_parts={"crashing"}, **engine_attributes)
        check_quarantine(script, site, instances)
        if restarts_all:
            restart_all(script, site, instances)
        serving_site.report_violations(script, site)


def play_same_request(script, folder):
    script.section("one request crashes every engine that runs it, and is sent again and again to each instance")
    with serving_site.open_site(folder, placed=PLACED, models=MODELS) as site:
        instances = serving_site.start_instances(site, 3)
        for number in range(3):
            site.workers[f"engine-{number}"].crashing_prompt_parts = {"own-crashing"}
        crashing = brief_request(parts=prompt("crashing"))
        for number in range(SAME_REQUEST_ROUNDS):
            others = [(it, brief_request(parts=prompt(f"{number}-{it.name}"))) for it in instances]
            outcomes = site.call_concurrently([(instances[number % len(instances)], crashing), *others])[1:]
            time.sleep(ROUND_S)
        runs = sorted(run.started_at for run in site.runs if site.sent_requests[run.request] == crashing)
        late = [it for it in runs[3:] if it > runs[2] + STABLE_S]
        script.say(f"at most {LATE_RUN_LIMIT} of its runs began later than {STABLE_S:g} s after the third crash: {len(late) <= LATE_RUN_LIMIT}")
        script.say(f"other requests are served in the last round: {all(it.is_served for it in outcomes)}")
        serving_site.report_violations(script, site)


def run(folder):
    script = Transcript()
    play(script, folder / "at-once", "one prompt part crashes every engine that runs it; no two requests with it are alike", restarts_all=True)
    play(script, folder / "after-events", "the engines crash after the first event", events_before_crash=1)
    play(script, folder / "brittle", "the engines say that they are brittle", brittleness=BRITTLENESS)
    play_same_request(script, folder / "same-request")
    return script.text()
