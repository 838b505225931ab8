"""A sound model worker in the process of a case: one model, a few places for adapters, orders and reports as in the protocol."""

import asyncio
import dataclasses
import json
import time

HOST = "127.0.0.1"
ADAPTER_LOAD_S = 0.01


@dataclasses.dataclass
class Order:
    worker: str
    holder: str
    fence: int
    kind: str
    adapter: str
    at: float  # monotonic seconds of the arrival
    status: int


class EngineWorker:
    def __init__(self, name, model, adapter_slots):
        self.name, self.model, self.adapter_slots = name, model, adapter_slots
        self.adapters, self.coming = set(), set()
        self.accepted = 0
        self.orders, self.runs = [], []
        self.on_change = lambda: None  # writes the worker's entry
        self.server, self.port = None, 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    def models(self):
        return [{"name": self.model, "version": 1, "adapters": sorted(self.adapters)}]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ")
                headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in head[1:] if it)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, fields, out = self._answer(method, path, headers, body)
                lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(out)}", *(f"{key}: {it}" for key, it in fields)]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + out)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, method, path, headers, body):
        name = headers.get("bulrushstack-request-id", "")
        own = [("Bulrushstack-Request-Id", name)] if name else []
        if headers.get("bulrushstack-target-instance", self.name) != self.name:
            return 421, [*own, ("Bulrushstack-Not-Executed", "1")], b""
        if (method, path) == ("GET", "/api/report"):
            report = {"stage": "colocated", "models": self.models(), "busy": False, "seq": self.accepted, "waiting": 0, "running": 0,
                      "kvUsed": 0, "kvTotal": 100000, "handles": 0, "coming": [f"{self.model}/{it}@1" for it in sorted(self.coming)]}
            return 200, [("Content-Type", "application/json")], json.dumps(report).encode()
        if (method, path) == ("POST", "/api/order"):
            return self._order(json.loads(body)), [], b""
        model, _, adapter = headers.get("bulrushstack-model", "").partition("/")
        if model != self.model or (adapter and adapter not in self.adapters):
            return 421, [*own, ("Bulrushstack-Not-Executed", "1")], b""
        self.runs.append(name)
        return 200, [*own, ("Bulrushstack-Response-Seal", f"seal-{name}"), ("Content-Type", "text/plain")], b"done"

    def _order(self, order):
        status = self._order_status(order)
        self.orders.append(Order(self.name, order.get("holder", ""), order.get("fence", 0), order["opKind"], order.get("adapter", ""),
                                 time.monotonic(), status))
        return status

    def _order_status(self, order):
        if not order.get("holder") or "fence" not in order or order["model"] != self.model or not order.get("adapter"):
            return 400
        if order.get("precondition", self.accepted) != self.accepted:
            return 409
        adapter = order["adapter"]
        if order["opKind"] == "unload":
            if adapter in self.adapters | self.coming:
                self.adapters.discard(adapter)
                self.coming.discard(adapter)
                self.accepted += 1
                self.on_change()
            return 200
        if adapter in self.adapters | self.coming:
            return 200
        if len(self.adapters | self.coming) >= self.adapter_slots:
            return 409
        self.accepted += 1
        self.coming.add(adapter)
        asyncio.get_running_loop().call_later(ADAPTER_LOAD_S, self._activate, adapter)
        return 202

    def _activate(self, adapter):
        if adapter not in self.coming:
            return
        self.coming.discard(adapter)
        self.adapters.add(adapter)
        self.on_change()
