"""An instance restarts, by SIGTERM and by SIGKILL, after its wall clock was set back by several seconds.

Guards against: an instance that its peers ignore, or take for its predecessor that has left, until its clock has caught up;
a running instance that a jump of its clock stops or delays.
"""

import time

import scenario
import http_client as http
from deployment import OPERATOR_TOKEN, Deployment
from processes import wait_until
from transcript import Transcript

HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
STEP_S = 30.0
HEARD_WITHIN_S = 5.0  # far less than the step, after which a silent instance would be heard again


def is_heard(deployment, listener, peer, since):
    """Returns whether the listener counts the peer as live and got a heartbeat of it after the monotonic time `since`."""
    asked_at = time.monotonic()
    response = http.call(deployment.members[listener].operator_address, "GET", "/operator/v1/status", headers=HEADERS)
    peers = {it["id"]: it for it in response.json()["peers"]}
    found = peers.get(peer)
    return bool(found) and found["state"] == "live" and found["age_ms"] is not None \
        and asked_at - found["age_ms"] / 1000 > since


def restart(script, deployment, clock, shift, what, stop):
    script.section(what)
    stop(deployment.members["entry-1"].process)
    clock.set_shift(shift)
    started = time.monotonic()
    deployment.start_instance("entry-1", "st-1")
    deployment.wait_ready("entry-1")
    for listener in ("entry-0", "entry-2"):
        wait_until(lambda it=listener: is_heard(deployment, it, "entry-1", started), f"{listener} hears entry-1",
                   HEARD_WITHIN_S)
    script.say("the other instances hear it and count it as live")


def run(folder):
    script = Transcript()
    with Deployment(folder) as deployment:
        clock = deployment.add_wall_clock("entry-1")
        scenario.start(deployment, engines=1)
        restart(script, deployment, clock, -STEP_S, "killed, clock set back", lambda it: it.kill())
        restart(script, deployment, clock, -2 * STEP_S, "stopped, clock set back further", lambda it: it.terminate())
        script.section("jumps while it runs")
        for shift in (STEP_S, -STEP_S, 0.0):
            clock.set_shift(shift)
            stepped = time.monotonic()
            wait_until(lambda it=stepped: is_heard(deployment, "entry-0", "entry-1", it), "entry-0 hears entry-1",
                       HEARD_WITHIN_S)
            address = deployment.members["entry-1"].address
            status = http.call(address, "GET", "/v1/models", headers={"Authorization": "Bearer zagreb-token"}).status
            script.say(f"{shift:+.0f} s: models listed with status {status}")
        scenario.stop_instances(script, deployment)
    return script.text()
