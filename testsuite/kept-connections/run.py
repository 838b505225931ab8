"""Callers keep their connections after a first response and send a second request within four fifths of the idle timeout.

Guards against: a whole request whose connection is closed without a response, because the idle timeout was raised while the
connection waited, or because the instance stood still while the timeout expired.
"""

import asyncio

import caller
import serving_site
from serving_site import checkout_request, lookup_request
from transcript import Transcript

IDLE_TIMEOUT_S = 4.0
RAISED_TIMEOUT_S = 60.0
CLIENTS = 16


class Client:
    """Uses one connection for all of its requests."""

    def __init__(self, site, instance, spec_of):
        self.site, self.instance, self.spec_of = site, instance, spec_of
        self.connection = caller.Connection()

    async def send(self):
        return await self.site.send(self.instance, self.spec_of(), connection=self.connection)


def set_idle_timeout(site, seconds):
    site.caller_limits = {**site.caller_limits, "idleTimeoutMs": int(seconds * 1000)}
    site.configure()


async def send_all(clients):
    return await asyncio.gather(*(it.send() for it in clients))


def open_clients(site, instance):
    """Returns clients whose connections wait for a second request. Half of them send requests that may not be repeated."""
    clients = [Client(site, instance, lookup_request if number % 2 else checkout_request) for number in range(CLIENTS)]
    first = site.run_coroutine(send_all(clients))
    assert all(it.is_served for it in first), [serving_site.describe(it) for it in first]
    return clients


def report(script, outcomes):
    script.say(f"second requests that are served: {sum(it.is_served for it in outcomes)} of {CLIENTS}")
    script.say(f"second requests without a response: {sum(it.status == 0 for it in outcomes)}")


async def send_while_suspended(clients, instance):
    await asyncio.sleep(IDLE_TIMEOUT_S * 0.7)
    instance.process.pause()
    await asyncio.sleep(IDLE_TIMEOUT_S * 0.05)  # it no longer runs when the requests arrive
    requests = [asyncio.ensure_future(it.send()) for it in clients]
    await asyncio.sleep(IDLE_TIMEOUT_S * 0.5)
    instance.process.resume()
    return await asyncio.gather(*requests)


def suspend(script, site, instance):
    script.section("the instance is suspended while requests arrive and the idle timeout expires")
    report(script, site.run_coroutine(send_while_suspended(open_clients(site, instance), instance)))


def raise_timeout(script, site, instance):
    script.section("a change of the configuration raises the idle timeout while connections wait")
    clients = open_clients(site, instance)
    set_idle_timeout(site, RAISED_TIMEOUT_S)
    site.run_coroutine(asyncio.sleep(IDLE_TIMEOUT_S + 1))
    report(script, site.run_coroutine(send_all(clients)))


def run(folder):
    script = Transcript()
    with serving_site.open_site(folder, limits={"idleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)}.items()) as site:
        instance = serving_site.start_instances(site, 1)[0]
        site.wait_served(instance, checkout_request(), "a request is served")
        suspend(script, site, instance)
        raise_timeout(script, site, instance)
        serving_site.report_violations(script, site)
    return script.text()
