"""A deployment in which some upstreams send fuzzed responses beside sound ones, and the load of its callers."""

import asyncio
import dataclasses
import pathlib
import random
import time

import promises
import serving_site
from caller import RequestSpec
from processes import wait_until
from response_fuzzer import ResponseFuzzer
from worker import RefusalRepeats

MODELS = {"m-0": 0, "m-1": 0}
PLACED = (("m-0", "m-1"), ("m-0", "m-1"))
FUZZED_UPSTREAMS = 4  # of each service, beside sound ones
REPLACE_INTERVAL_S = 0.1  # seconds between looks for upstreams to replace
DEADLINE_MS = 2500
BODY_LIMIT = 4 << 20  # bytes; more than the buffers of a connection take
BODY_SIZES = (0, 1, 500, 20_000, 1 << 20, BODY_LIMIT)  # bytes of request bodies
OUTPUT_TOKENS = (4, 40, 400)
MAX_TRIES = 5  # times that a caller sends a request which is refused with a promise
RETRY_INTERVAL_S = 0.01
RECOVERY_S = 15.0  # seconds after the last fuzzed response within which each kind of request must be served
CHECKS = (promises.at_most_once, promises.no_unsent_requests, promises.refused_requests_not_run, promises.complete_responses,
          promises.events_in_order, promises.one_holder, promises.recorded_violations, promises.requests_answered)


@dataclasses.dataclass(frozen=True)
class FuzzResult:
    """What a run showed."""

    requests: int
    served: int
    counts: dict  # kind of response -> responses drawn
    drawn: tuple  # keys of the responses drawn
    growth_mb: float  # largest growth of the memory of an instance
    violations: tuple


def draw_request(rng):
    kind = rng.choice(["brief", "note", "checkout", "checkout", "lookup", "lookup", "update"])
    parts = ((f"s{rng.randint(0, 3)}", 200), (f"own{rng.randint(0, 9999)}", 50))
    tokens, size = rng.choice(OUTPUT_TOKENS), rng.choice(BODY_SIZES)
    if kind in ("brief", "note"):
        build = serving_site.brief_request if kind == "brief" else serving_site.note_request
        return build(rng.choice(list(MODELS)), tokens, parts=parts, body=b"b" * size, deadline_ms=DEADLINE_MS)
    if kind == "lookup":
        return dataclasses.replace(serving_site.lookup_request(), deadline_ms=DEADLINE_MS)
    if kind == "update":
        return RequestSpec(serving_site.LOOKUP_PREFIX + "7", "idempotent", "PUT", body=b"b" * size, deadline_ms=DEADLINE_MS)
    return RequestSpec(serving_site.CHECKOUT_PREFIX + "1", "non_idempotent", body=b"b" * size, deadline_ms=DEADLINE_MS)


class FuzzedUpstreams:
    """Keeps a number of fuzzed upstreams of both services in a site; each is replaced by a new one after a few responses."""

    def __init__(self, site):
        self.site, self.added = site, 0
        # With few upstreams, refused requests come back on the connections on which they were refused.
        count = 1 if site.fuzzer.refusal_share > 0 else FUZZED_UPSTREAMS
        self.engines = [self._add_engine() for _ in range(count)]
        self.plain_workers = [self._add_plain_worker() for _ in range(count)]

    def _next(self):
        self.added += 1
        return f"fuzzed-{self.added}", serving_site.ZONES[self.added % len(serving_site.ZONES)]

    def _add_engine(self):
        return self.site.add_fuzzed_engine(*self._next(), MODELS)

    def _add_plain_worker(self):
        return self.site.add_fuzzed_plain_worker(*self._next())

    def replace(self):
        """Replaces the upstreams that were killed or have sent enough fuzzed responses."""
        for workers, add in ((self.engines, self._add_engine), (self.plain_workers, self._add_plain_worker)):
            for index, it in enumerate(workers):
                if it.is_worn:
                    self.site.spawn(it.retire())
                if it.is_worn or it.is_replaced:
                    workers[index] = add()


async def send_load(site, instances, seed, seconds, rate):
    """Sends requests whose order and content follow from the seed; refused ones come back with their id."""
    rng, tasks = random.Random(seed), []
    for _ in range(int(seconds * rate)):
        order = rng.sample(instances, rng.randint(1, len(instances)))
        tasks.append(asyncio.create_task(site.send_until_served(order, draw_request(rng), MAX_TRIES, RETRY_INTERVAL_S)))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)


def refuse(site, share):
    """Lets the sound upstreams refuse a share of the requests and send the refusals again."""
    for it in site.workers.values():
        it.shed_share, it.repeats = share, RefusalRepeats()


def memory_mb(instance):
    status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
    return next(int(it.split()[1]) / 1024 for it in status.splitlines() if it.startswith("VmRSS"))


def check_recovery(site, instances):
    """Returns the kinds of requests that an instance does not serve in time once all upstreams are sound."""
    specs = (serving_site.brief_request(), serving_site.note_request(), serving_site.checkout_request(), serving_site.lookup_request())
    out = []
    for instance in instances:
        for spec in specs:
            try:
                wait_until(lambda it=instance, what=spec: site.call(it, what).is_served, spec.path, RECOVERY_S, 0.2)
            except RuntimeError:
                out.append(f"{instance.name} does not serve {spec.path} {RECOVERY_S:.0f} s after the last fuzzed response")
    return out


def explain(site, text):
    """Adds the fuzzed responses to the request that a line names."""
    drawn = [it for it in site.fuzzer.drawn if it.key.split("/")[0] in text.split()]
    return text + "".join(f"\n    {it.describe()}" for it in drawn)


def play(folder, seed, seconds, rate, growth_limit_mb, only=None):
    """Sends load to two instances before sound and fuzzed upstreams; returns what it showed."""
    with serving_site.Site(folder, seed=seed, limits={"maxBodyBytes": BODY_LIMIT}) as site:
        site.fuzzer = ResponseFuzzer(seed, only)
        serving_site.populate(site, len(PLACED), PLACED, MODELS)
        refuse(site, site.fuzzer.refusal_share)
        upstreams = FuzzedUpstreams(site)
        instances = serving_site.start_instances(site)
        before = [memory_mb(it) for it in instances]
        load = asyncio.run_coroutine_threadsafe(send_load(site, instances, seed, seconds, rate), site.loop)
        while not load.done():
            upstreams.replace()
            time.sleep(REPLACE_INTERVAL_S)
        load.result()
        requests, served = len(site.outcomes), sum(it.is_served for it in site.outcomes)
        growth = max(memory_mb(it) - mb for it, mb in zip(instances, before))
        site.fuzzer.is_active = False
        refuse(site, 0.0)
        broken = check_recovery(site, instances)
        if growth > growth_limit_mb:
            broken.append(f"memory: an instance grew by {growth:.0f} MB; the limit is {growth_limit_mb:g}")
        broken += [f"{it.name} exited" for it in instances if not it.process.is_running()]
        broken += [f"{check.__name__}: {explain(site, text)}" for check in CHECKS for text in check(site)]
        drawn = tuple(it.key for it in site.fuzzer.drawn)
        return FuzzResult(requests, served, dict(site.fuzzer.counts()), drawn, growth, tuple(broken))
