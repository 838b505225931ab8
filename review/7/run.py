"""All three cue board workers crash once, for 4 s, while clients read the same cue state."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand_ins_2"))
import case  # noqa: E402
from caller import RequestSpec  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # with TROUBLE=0 the case does the same without the disruption

RUN_S = 75  # seconds of traffic
CRASH_AT_S = 8
AWAY_S = 4.0  # seconds for which the workers are down
BACK_S = 20  # from then on everything has been back for over 2 x stableMs
RATES = {"draft": 6, "publish": 12, "read": 8}  # requests a second
WORK_S = 0.06


def spec_of(kind):
    if kind == "read":
        return RequestSpec("/state/board/current", "idempotent", "GET", deadline_ms=4000)
    if kind == "publish":
        return RequestSpec("/cue/board", "non_idempotent", body=f"cue {random.getrandbits(60):x}".encode(), deadline_ms=4000)
    own = f"{random.getrandbits(32):x}"
    return RequestSpec("/draft/live", "stream", model="m-0", parts=(("5c1e07a2", 630), (own, 289)), deadline_ms=5000)


class Board:
    """The workers of the cue board, with the number of reads that each is running."""

    def __init__(self, site):
        self.workers = [site.add_plain_worker(f"board-{it}", zone, slots=6, processing_time=WORK_S) for it, zone in enumerate(case.ZONES)]
        self.reads = {it.name: 0 for it in self.workers}
        for worker in self.workers:
            self._count_reads(worker)

    def _count_reads(self, worker):
        respond = worker._respond

        async def counted(request, run, writer):
            change = 1 if request.method == "GET" else 0
            self.reads[worker.name] += change
            try:
                return await respond(request, run, writer)
            finally:
                self.reads[worker.name] -= change

        worker._respond = counted

    def busy_with_reads(self):
        return sum(it > 0 for it in self.reads.values())


async def crash_board(board, record):
    await asyncio.sleep(CRASH_AT_S)
    while board.busy_with_reads() < 2:
        await asyncio.sleep(0.002)
    record.say(f"all workers of the board crash, for {AWAY_S} s; reads in progress: {board.reads}")
    await asyncio.gather(*[it.crash(restart_after=AWAY_S) for it in board.workers])
    record.say("all workers of the board are back")


async def play(site, fronts, board, record):
    begun, tasks, results = time.monotonic(), [], []

    async def ask(kind):
        at = time.monotonic() - begun
        results.append((at, kind, await case.send_with_retry(site, record, kind, fronts, spec_of(kind))))

    async def traffic(kind):
        while time.monotonic() - begun < RUN_S:
            await asyncio.sleep(random.expovariate(RATES[kind]))
            tasks.append(asyncio.create_task(ask(kind)))

    trouble = [crash_board(board, record)] if HAS_TROUBLE else []
    await asyncio.gather(*[traffic(it) for it in RATES], *trouble)
    await asyncio.gather(*tasks)
    return results


def share(results, kind=None, since=0):
    asked = [served for at, it, served in results if at >= since and kind in (None, it)]
    return sum(asked) / len(asked), len(asked)


def run(record):
    with case.open_site() as site:
        site.models = {"m-0": 0}
        for number in range(3):
            site.add_engine(f"engine-{number}", case.ZONES[number], ("m-0",))
        board = Board(site)
        site.add_route("/draft/", "stream", "models", timeout_ms=5000, objective_ms=600)
        site.add_route("/cue/", "non_idempotent", "board", timeout_ms=4000, objective_ms=300)
        site.add_route("/state/", "idempotent", "board", timeout_ms=4000, objective_ms=300)
        site.configure()
        fronts = case.start_fronts(site, 3)
        for front in fronts:
            for kind in RATES:
                site.wait_served(front, spec_of(kind), kind)
        results = site.run_coroutine(play(site, fronts, board, record))
        case.note_runs(record, site)
    for kind in RATES:
        whole, later = share(results, kind), share(results, kind, BACK_S)
        record.say(f"{kind}: served {whole[0]:.3f} of {whole[1]}; of those asked from {BACK_S} s on: {later[0]:.3f} of {later[1]}")
    everything, reads = share(results)[0], share(results, "read")[0]
    record.say(f"all: served {everything:.3f}; a quarter of it: {everything / 4:.3f}; read: {reads:.3f}")
    return case.BROKEN if reads < everything / 4 else case.HELD


case.main(run, pathlib.Path(__file__).resolve().parent)
