"""A model worker as a process of its own, so that it can be killed. Its streams have neither a length nor chunks: they end with
their connection, which PROTOCOL.md and the news pages permit. It holds one model, and its entry in the store is written by
the case.

Arguments: host, port, id, model, number of events of a stream, seconds between two events. It prints what it runs and sends.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2] / "platform" / "testing")]

import http_io  # noqa: E402

HOST, PORT, NAME, MODEL, EVENTS, INTERVAL_S = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4], int(sys.argv[5]), float(sys.argv[6])
SLOTS = 64
running = 0


def say(text):
    print(f"{time.monotonic()} {text}", flush=True)


def report():
    return {"stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": []}], "busy": False, "seq": 0, "waiting": 0,
            "running": running, "kvUsed": 0, "kvTotal": 282501, "handles": 0}


async def handle(request, writer):
    global running
    headers = request.headers
    target = headers.get("bulrushstack-target-instance")
    if request.path == "/api/report":
        writer.write(http_io.encode_response(200, json.dumps(report()).encode()))
        return True
    if request.path == "/api/order":
        writer.write(http_io.encode_response(421 if target and target != NAME else 409))
        return True
    request_id = headers.get("bulrushstack-request-id", "")
    common = {"Bulrushstack-Request-Id": request_id, "Bulrushstack-Server-Load": f"{running},0,{SLOTS}"}
    if (target and target != NAME) or headers.get("bulrushstack-model") != MODEL:
        writer.write(http_io.encode_response(421, headers={"Bulrushstack-Not-Executed": "1", **common}))
        return True
    if running >= SLOTS:
        writer.write(http_io.encode_response(503, headers={"Bulrushstack-Not-Executed": "1", **common}))
        return True
    running += 1
    try:
        say(f"run {request_id}")
        writer.write(http_io.encode_head(200, {**common, "Bulrushstack-Response-Seal": f"seal-{request_id}", "Connection": "close",
                                               "Bulrushstack-Weight-Versions": 1, "Content-Type": "text/event-stream"}))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(INTERVAL_S)
            writer.write(f"id: {number}\ndata: piece {number} of {EVENTS}\nsoftware: v1\n\n".encode())
            await writer.drain()
        say(f"whole {request_id}")
    finally:
        running -= 1
    return False


async def main():
    await http_io.Server(handle).start(HOST, PORT)
    say("ready")
    await asyncio.sleep(600)


asyncio.run(main())
