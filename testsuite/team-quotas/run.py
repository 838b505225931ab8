"""Four instances identify teams by key and keep the quota of each team together.

Guards against: a request without a valid key that runs; a key that reaches an upstream or a log; a team name that the client
chose; a key that still works on an open connection after it was removed; instances that exceed a team's quota in sum, also
while one of them is suspended or the lease holder is killed; a team that is refused because another one exceeds its quota.
"""

import asyncio
import time

import caller
import promises
import serving_site
from processes import wait_until
from serving_site import brief_request, checkout_request, describe
from transcript import Transcript

WINDOW_S = 8
REQUEST_TOKENS = (350, 50)  # prompt and output
RATE = 4000  # tokens a second, 10 requests
PRESSING_KEY, QUIET_KEY, REMOVED_KEY, UNKNOWN_KEY = "key-of-sinj", "key-of-vis", "second-key-of-vis", "key-of-nobody"
PRESSING_INTERVAL_S = 0.1  # between a team's requests at each instance: four times its quota
QUIET_INTERVAL_S = 1.6  # a quarter of the quota
SUSPENSION_S = 3.0


def tenants():
    quota = {"unit": "tokens", "plainTokens": 100, "ratePerS": RATE, "burst": RATE}
    return [{"name": "sinj", "apiKeys": [PRESSING_KEY], **quota}, {"name": "vis", "apiKeys": [QUIET_KEY, REMOVED_KEY], **quota}]


def team_request(key, **options):
    return checkout_request(key=key, token_counts=REQUEST_TOKENS, **options)


async def send_steadily(site, instance, spec, interval, end):
    """Sends a request at each interval, whether or not the earlier ones were answered; returns the outcomes."""
    tasks = []
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(site.send(instance, spec)))
        await asyncio.sleep(interval)
    return await asyncio.gather(*tasks)


class Load:
    """One team asks for four times its quota at all instances, the other one for a quarter of its quota at some of them."""

    def __init__(self, site, seconds, quiet_instances):
        end = time.monotonic() + seconds
        self.pressing = self._start(site, site.instances.values(), PRESSING_KEY, PRESSING_INTERVAL_S, end)
        self.quiet = self._start(site, quiet_instances, QUIET_KEY, QUIET_INTERVAL_S, end)

    @staticmethod
    def _start(site, instances, key, interval, end):
        return [asyncio.run_coroutine_threadsafe(send_steadily(site, it, team_request(key), interval, end), site.loop)
                for it in instances]

    def report(self, script, site):
        pressing = [it for future in self.pressing for it in future.result()]
        quiet = [it for future in self.quiet for it in future.result()]
        refused = [it for it in pressing if it.status not in (0, 200)]
        unanswered = [it for it in pressing if it.status == 0
                      and site.was_undisrupted(site.instance_by_request[it.request], it.sent_at, it.sent_at + it.elapsed)]
        script.say(f"some refused: {len(refused) > 0}, without an answer from an undisrupted instance: {len(unanswered)}")
        script.say(f"refused with 429 and Retry-After: "
                   f"{all(it.status == 429 and 'retry-after' in it.headers for it in refused)}")
        script.say(f"the other team: all served: {all(it.is_served for it in quiet)}")
        script.say(f"quotas exceeded: {promises.quotas_respected(site)}")


def identify(script, site, instances):
    script.section("requests without a valid key are refused and do not run")
    before = len(site.runs)
    for instance in instances:
        answers = [describe(site.call(instance, team_request(it))) for it in ("", UNKNOWN_KEY)]
        script.say(f"{instance.name}> no key: {answers[0]}, unknown key: {answers[1]}")
    script.say(f"stream, unknown key: {describe(site.call(instances[0], brief_request(key=UNKNOWN_KEY)))}")
    script.say(f"runs: {len(site.runs) - before}")
    script.section("the upstream gets the name of the team that holds the key, whatever the client says, and no key")
    # The account of a new lease holder starts empty.
    for key in (PRESSING_KEY, QUIET_KEY):
        site.wait_served(instances[0], team_request(key), "a request of the team is served")
    time.sleep(1.0)
    before = len(site.runs)
    forged = (("Bulrushstack-Tenant", "sinj"),)
    for instance in instances:
        script.say(f"{instance.name}> once: {describe(site.call(instance, team_request(QUIET_KEY, extra_headers=forged)))}")
    script.say(f"stream: {describe(site.call(instances[0], brief_request(key=PRESSING_KEY)))}")
    script.say(f"teams: {[it.team for it in site.runs[before:]]}, with a key: {len(site.forwarded_keys)}")


def remove_key(script, site, instance):
    script.section("a key is removed while its caller keeps a connection open")
    connection = caller.Connection()
    spec = team_request(REMOVED_KEY)
    script.say(f"before: {describe(site.run_coroutine(site.send(instance, spec, connection=connection)))}")
    first_writer = connection.writer
    site.tenants[1]["apiKeys"].remove(REMOVED_KEY)
    removed_at = time.monotonic()
    site.configure()
    statuses = []

    def is_refused():
        time.sleep(0.2)  # half of the quota
        is_same = connection.writer is first_writer
        statuses.append((site.run_coroutine(site.send(instance, spec, connection=connection)).status, is_same))
        return statuses[-1][0] == 401
    wait_until(is_refused, "the removed key is refused")
    elapsed = time.monotonic() - removed_at
    script.say(f"refused with 401 within the configuration period: {elapsed <= site.bounds['configMs'] / 1000}")
    script.say(f"on the same connection: {all(is_same for _, is_same in statuses)}")
    script.say(f"other key of the team: {describe(site.call(instance, team_request(QUIET_KEY)))}")
    site.call_on_loop(connection.close)


def press(script, site, instances):
    script.section("a team asks for four times its quota at all instances")
    Load(site, WINDOW_S + 2, instances).report(script, site)


def suspend_one(script, site, instances):
    script.section("the same while an instance is suspended and continued")
    _, (suspended, *_) = holder_of(site, instances)
    others = [it for it in instances if it is not suspended]
    load = Load(site, WINDOW_S + 2, others)
    time.sleep(1.5)
    site.begin_disruption(suspended.name)
    suspended.process.pause()
    time.sleep(SUSPENSION_S)
    suspended.process.resume()
    site.end_disruption(suspended.name)
    load.report(script, site)


def kill_holder(script, site, instances):
    script.section("the same while the lease holder is killed")
    holder, others = holder_of(site, instances)
    load = Load(site, WINDOW_S + 4, others)
    time.sleep(1.5)
    site.begin_disruption(holder.name)
    holder.process.kill()
    wait_until(lambda: holder_of(site, instances)[0] is not holder, "another instance holds the lease")
    site.start_instance(holder.name, holder.zone)
    site.wait_ready(holder)
    site.end_disruption(holder.name)
    load.report(script, site)


def holder_of(site, instances):
    """Returns the instance that last wrote the placement lease, and the other instances."""
    names = [port for _, port, rows in site.store.writes if any(row[0] == "placement" for row in rows)]
    holder = next(it for it in instances if it.name == names[-1])
    return holder, [it for it in instances if it is not holder]


def run(folder):
    script = Transcript()
    # The slack is what the rule needs for one request that overdraws the account.
    bounds = {"quotaWindowS": WINDOW_S, "quotaOver": 0.1, "quotaSlack": 2 * sum(REQUEST_TOKENS)}
    with serving_site.open_site(folder, bounds=bounds, tenants=tenants()) as site:
        instances = serving_site.start_instances(site, 4)
        identify(script, site, instances)
        remove_key(script, site, instances[1])
        press(script, site, instances)
        suspend_one(script, site, instances)
        kill_holder(script, site, instances)
        script.section("logs")
        keys = (PRESSING_KEY, QUIET_KEY, REMOVED_KEY, UNKNOWN_KEY)
        script.say(f"lines with a key: {sum(key in it.log() for it in instances for key in keys)}")
        serving_site.report_violations(script, site)
    return script.text()
