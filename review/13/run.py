"""A sound worker that computes in batches ends several answers without length or chunks in the same moment."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_3"))

from deployment import HOST, CaseCannotRun, Deployment, request_head, run_case  # noqa: E402
from engine_worker import EngineWorker  # noqa: E402

MODELS = 4  # one worker for each; only the first has answers without length or chunks
ROUNDS, CALLERS = 3, 4
START_GAP_S = 0.15  # between the requests of a round
EVENTS, STEP_S = 4, 0.1
SPREAD_S = 0.1  # between the ends of the answers without the disruption
QUICK, QUICK_PAUSE_S = 260, 0.01  # requests to the same worker whose answers have a length: over 20 for each that has none


class BatchWorker:
    """Holds model m1. The streams of a round end together, or one after the other. Other answers have a length."""

    def __init__(self, ends_together):
        self.ends_together = ends_together
        self.waiting = []  # of the round: set when the answer may end
        self.ended = self.framed = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    @staticmethod
    def models():
        return [{"name": "m1", "version": 1, "adapters": []}]

    async def _serve(self, reader, writer):
        try:
            while await self._answer(reader, writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # a connection that only looks whether the worker listens, or one that was closed
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        """Returns whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in head[1:] if it)}
        await reader.readexactly(int(headers.get("content-length", 0)))
        path, name = head[0].split(" ")[1], headers.get("bulrushstack-request-id", "")
        own = f"Bulrushstack-Request-Id: {name}\r\nBulrushstack-Response-Seal: seal-{name}\r\n"
        if path == "/api/report":
            report = json.dumps({"stage": "colocated", "models": self.models(), "busy": False, "seq": 0, "waiting": 0, "running": 0,
                                 "kvUsed": 0, "kvTotal": 100000, "handles": 0, "coming": []})
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n{report}".encode())
            return True
        if path.startswith("/plain/"):
            self.framed += 1
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{own}\r\nok".encode())
            return True
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{own}Connection: close\r\n\r\n".encode())
        for number in range(1, EVENTS):
            writer.write(f"id: {number}\ndata: {name}\n\n".encode())
            await asyncio.sleep(STEP_S)
        await self._wait_for_batch()
        writer.write(f"id: {EVENTS}\ndata: {name} last\n\n".encode())
        await writer.drain()
        self.ended += 1
        return False

    async def _wait_for_batch(self):
        own = asyncio.Event()
        self.waiting.append(own)
        if len(self.waiting) == CALLERS:
            batch, self.waiting = self.waiting, []
            for number, it in enumerate(batch):
                asyncio.get_running_loop().call_later(0 if self.ends_together else number * SPREAD_S, it.set)
        await own.wait()


def fields_of(number):
    return [("Bulrushstack-Deadline-Ms", "10000"), ("Bulrushstack-Model", "m1"), ("Bulrushstack-Token-Count", "20,16"),
            ("Bulrushstack-Prompt-Prefix", f"{number}:20")]


async def call_plain(connection, name):
    """Sends a request on a kept connection; its answer has a length."""
    reader, writer = connection
    writer.write(request_head("GET", "/plain/1", name, fields_of(name)))
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(int(it.split(b":")[1]) for it in head.split(b"\r\n") if it.lower().startswith(b"content-length"))
    if b" 200 " not in head or await reader.readexactly(length) != b"ok":
        raise CaseCannotRun(f"{name}: {head!r}")


async def call_quickly(instance):
    connection = await asyncio.open_connection(*instance.address)
    for number in range(QUICK):
        await call_plain(connection, f"0b{number:04x}")
        await asyncio.sleep(QUICK_PAUSE_S)
    connection[1].close()


async def call(record, instance, name, connections):
    """Sends a request on a kept connection and returns whether its whole answer came."""
    if name[-1] not in connections:
        connections[name[-1]] = await asyncio.open_connection(*instance.address)
        await call_plain(connections[name[-1]], f"{name}b")
    reader, writer = connections[name[-1]]
    writer.write(request_head("POST", "/stream/1", name, fields_of(name), b"prompt"))
    record.write(f"{name}: sent POST /stream/1 to {instance.name}")
    events, is_whole, status = b"", False, "none"
    try:
        status = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
        while size := int(await reader.readuntil(b"\r\n"), 16):
            events += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        is_whole = True
    except asyncio.IncompleteReadError:
        connections.pop(name[-1])
        writer.close()
    record.write(f"{name}: answered {status}, {events.count(b'id: ')} of {EVENTS} events, "
                 f"{'whole' if is_whole else 'connection closed before the end of the answer'}")
    return is_whole


async def case(record, is_troubled):
    async with Deployment(record) as site, BatchWorker(is_troubled) as worker:
        others = [EngineWorker(f"w-{it}", f"m{it}", 4) for it in range(2, MODELS + 1)]
        for it in others:
            await it.__aenter__()
        models = [{"name": f"m{it}", "weightsMb": 100, "loadTimeS": 1.0, "adapters": 0, "adapterMb": 1} for it in range(1, MODELS + 1)]
        site.add_service("models", engine={"slots": 64, "kvCapacityTokens": 100000, "weightsMb": 150, "adapterSlots": 4,
                                           "loadsPerS": 1.0, "models": models})
        site.add_route("/plain/", "idempotent", "models")
        site.add_route("/stream/", "stream", "models", gapAimMs=1000, resumable=False)
        site.configure()
        for name, it in [("w-1", worker), *((it.name, it) for it in others)]:
            site.put_worker(name, "models", it.port, models=it.models())
        for number in (1, 2, 3):
            await site.add_instance(f"front-{number}")
        await site.wait_until_ready()
        began = time.monotonic()
        quick = asyncio.create_task(call_quickly(site.instances[1]))
        connections, lost = {}, 0
        for number in range(ROUNDS):
            calls = []
            for caller in range(CALLERS):
                calls.append(asyncio.create_task(call(record, site.instances[0], f"0a{number}{caller}", connections)))
                await asyncio.sleep(START_GAP_S)
            lost += (await asyncio.gather(*calls)).count(False)
            await asyncio.sleep(0.3)
        await quick
        record.write(f"w-1, which ran all the while, ended {worker.ended} answers without length and {worker.framed} with a length "
                     f"in {time.monotonic() - began:.1f} s; {lost} did not come whole to their callers")
        if worker.ended != ROUNDS * CALLERS or worker.ended * 20 > worker.framed:
            raise CaseCannotRun("the worker did not end all answers, or too many had no length")
        return lost <= 3


run_case(case)
