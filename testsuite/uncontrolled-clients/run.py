"""Clients that stop short of the end of their requests, or never end them, in front of one instance for each case.

Guards against: an instance that keeps all that such clients send until its memory is used up; an instance that refuses
ordinary requests while such clients are connected.
"""

import asyncio
import os
import re

import serving_site
from serving_site import checkout_request
from transcript import Transcript

CROWD = 48  # connections of a case, where it names no other number
HEAD_CROWD = 400  # connections with incomplete heads
HEAD_SIZE = 15 << 10  # bytes of an incomplete head; the platform permits 16 KiB
BODY_LIMIT = 4 << 20  # bytes of a body that the platform permits
MISSING = 16  # bytes that a body lacks
TRAILER_SIZE = 4 << 20  # bytes of trailers that a client sends on one connection
PIECE = 64 << 10  # bytes that a client writes at once
SMALL_CHUNK = 16  # bytes
SMALL_CHUNK_BODY = BODY_LIMIT - PIECE  # bytes of a body in small chunks, without their overhead
GROWTH_LIMIT_MB = 90  # of the memory of an instance; it takes 10 MB at its start, its machine has 120 MB
DESCRIPTOR_LIMIT = 700  # of an instance
WRITE_LIMIT_S = 8  # time after which a client that the instance no longer reads stops writing
SETTLE_S = 0.5  # time between two looks at the memory of an instance
SETTLE_GROWTH_MB = 1  # less growth in this time means that it has read what the kernel holds; sanitizers keep freed memory
TRIES = 4  # of the ordinary request, while it is refused as not run

HEAD = b"POST /checkout/order HTTP/1.1\r\nHost: uncontrolled\r\nContent-Type: application/json\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TRAILER = b"X-Trailer: " + b"t" * 1011 + b"\r\n"  # 1 KiB


def sized_head(size):
    return HEAD + f"Content-Length: {size}\r\n\r\n".encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"


def endless_trailers(_):
    yield CHUNKED_HEAD + chunk(SMALL_CHUNK) + b"0\r\n"
    for _ in range(TRAILER_SIZE // PIECE):
        yield TRAILER * (PIECE // len(TRAILER))


def whole_body(_):
    """One write; the last bytes are missing."""
    yield sized_head(BODY_LIMIT) + b"x" * (BODY_LIMIT - MISSING)


def body_in_pieces(_):
    yield sized_head(BODY_LIMIT)
    for _ in range(BODY_LIMIT // PIECE - 1):
        yield b"x" * PIECE
    yield b"x" * (PIECE - MISSING)


def large_chunks(_):
    yield CHUNKED_HEAD
    for _ in range(BODY_LIMIT // PIECE):
        yield chunk(PIECE)


def small_chunks(_):
    yield CHUNKED_HEAD
    for _ in range(SMALL_CHUNK_BODY // PIECE):
        yield chunk(SMALL_CHUNK) * (PIECE // SMALL_CHUNK)


def incomplete_head(number):
    yield HEAD + f"X-Number: {number}\r\n".encode() + b"X-Long: " + b"h" * (HEAD_SIZE - len(HEAD))


CASES = (
    ("endless trailers behind a chunked body", CROWD, endless_trailers),
    ("large bodies in one piece, each short of its end", CROWD, whole_body),
    ("large bodies in pieces, each short of its end", CROWD, body_in_pieces),
    ("large chunks without the last one", CROWD, large_chunks),
    ("very small chunks without the last one", CROWD, small_chunks),
    ("incomplete heads", HEAD_CROWD, incomplete_head),
)


def is_alive(instance):
    return instance.process.child.poll() is None


def peak_memory_mb(instance):
    status = open(f"/proc/{instance.process.child.pid}/status").read()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


def open_descriptors(instance):
    return len(os.listdir(f"/proc/{instance.process.child.pid}/fd"))


async def settle(instance):
    """Waits until the instance has read what the crowd has written."""
    before = 0
    while is_alive(instance) and peak_memory_mb(instance) - before >= SETTLE_GROWTH_MB:
        before = peak_memory_mb(instance)
        await asyncio.sleep(SETTLE_S)


async def send_parts(address, parts):
    """Writes the parts as fast as the instance reads them. Returns the open connection, or None if there is none."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    try:
        async with asyncio.timeout(WRITE_LIMIT_S):
            for it in parts:
                writer.write(it)
                await writer.drain()
    except (OSError, TimeoutError):
        pass  # refused or closed by the instance, which is permitted
    return writer


async def connect_crowd(address, size, parts):
    return await asyncio.gather(*(send_parts(address, parts(number)) for number in range(size)))


async def send_ordinary(site, instance):
    """Sends an ordinary request, and again after the time that a refusal names."""
    for _ in range(TRIES):
        outcome = await site.send(instance, checkout_request())
        if outcome.status != 503:
            break
        await asyncio.sleep(float(outcome.headers.get("retry-after", 0)))
    return outcome


async def close_crowd(writers):
    for it in writers:
        if it:
            it.transport.abort()


def run_case(script, site, instance, case):
    title, size, parts = case
    script.section(f"{size} connections: {title}")
    before = peak_memory_mb(instance)
    writers = site.run_coroutine(connect_crowd(instance.address(), size, parts))
    site.run_coroutine(settle(instance))
    script.say(f"the process lives: {is_alive(instance)}")
    if not is_alive(instance):
        return f"{title}: the process has ended\n"
    growth, descriptors = peak_memory_mb(instance) - before, open_descriptors(instance)
    outcome = site.run_coroutine(send_ordinary(site, instance))
    growth = max(growth, peak_memory_mb(instance) - before)
    script.say(f"its memory grows by less than {GROWTH_LIMIT_MB} MB: {growth < GROWTH_LIMIT_MB}")
    script.say(f"it has fewer than {DESCRIPTOR_LIMIT} descriptors: {descriptors < DESCRIPTOR_LIMIT}")
    script.say(f"an ordinary request gets {outcome.status}")
    site.run_coroutine(close_crowd(writers))
    return f"{title}: {before:.0f} MB before, growth {growth:.0f} MB, {descriptors} descriptors, status {outcome.status}\n"


def run(folder):
    script = Transcript()
    os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=16")  # else a sanitized process keeps what it has freed
    with serving_site.open_site(folder, limits={"maxBodyBytes": BODY_LIMIT}) as site:
        instances = serving_site.start_instances(site, len(CASES))
        figures = ""
        for instance, case in zip(instances, CASES):
            figures += run_case(script, site, instance, case)
            (folder / "figures.txt").write_text(figures)
    return script.text()
