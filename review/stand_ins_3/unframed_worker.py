"""A worker of its own process. Its answers have a length, but those under /slow/ and /stream/ have neither a length nor chunks
and end with their connection, as the rules permit.

Usage: unframed_worker.py PORT ID PIECES INTERVAL_MS. It prints "listening" and then "run ID" for each request that it runs.
"""

import asyncio
import sys

HOST = "127.0.0.1"


def piece(path, request_id, number):
    if path.startswith("/stream/"):
        return f"id: {number}\ndata: {request_id} {number}\n\n".encode()
    return f"{request_id} line {number}\n".encode()


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (it.partition(":") for it in lines[1:] if it)}
    await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" ")[1], headers


async def main(port, name, pieces, interval):
    async def answer(path, headers, writer):
        """Returns whether the connection goes on."""
        request_id = headers.get("bulrushstack-request-id", "")
        own = f"Bulrushstack-Request-Id: {request_id}\r\n"
        if headers.get("bulrushstack-target-instance", name) != name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nBulrushstack-Not-Executed: 1\r\n{own}Content-Length: 0\r\n\r\n".encode())
            return True
        print(f"run {request_id}", flush=True)
        own += f"Bulrushstack-Response-Seal: seal-{request_id}\r\n"
        if path.startswith("/quick/"):
            writer.write(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 4\r\n\r\ndone".encode())
            return True
        kind = "text/event-stream" if path.startswith("/stream/") else "text/plain"
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n{own}Connection: close\r\n\r\n".encode())
        for number in range(1, pieces + 1):
            writer.write(piece(path, request_id, number))
            await writer.drain()
            await asyncio.sleep(interval)
        return False

    async def serve(reader, writer):
        try:
            while await answer(*await read_request(reader), writer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, HOST, port)
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]) / 1000))
