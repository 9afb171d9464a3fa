"""A loopback proxy as a machine's link: --port=P --to=IP:PORT --ms=M delays
what it passes on by M, one way; --mbit=R lets at most so many Mbit a second
through in each direction, shared by all connections."""

import asyncio
import sys

CHUNK = 16384


class Link:
    """One direction of the link."""

    def __init__(self, mbit):
        self.bytes_per_s = mbit * 1e6 / 8
        self.free_at = 0.0

    async def take(self, size):
        if self.bytes_per_s == 0:
            return
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        await asyncio.sleep(max(0, self.free_at - now))


async def pump(reader, writer, delay_s, link):
    loop = asyncio.get_running_loop()
    # Bounds what a connection has on its way, as a window does.
    queue = asyncio.Queue(maxsize=16)

    async def send():
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0, due - loop.time()))
            if not data:
                break
            writer.write(data)
            await writer.drain()

    task = asyncio.create_task(send())
    try:
        while True:
            data = await reader.read(CHUNK)
            await link.take(len(data))
            await queue.put((loop.time() + delay_s, data))
            if not data or task.done():
                break
        await task
    except OSError:
        task.cancel()
    writer.close()


async def main():
    args = dict(a[2:].split("=", 1) for a in sys.argv[1:])
    ip, port = args["to"].rsplit(":", 1)
    delay_s = float(args.get("ms", 0)) / 1000
    up, down = (Link(float(args.get("mbit", 0))) for _ in range(2))

    async def accept(reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(pump(reader, to_writer, delay_s, up),
                             pump(to_reader, writer, delay_s, down))

    server = await asyncio.start_server(accept, "127.0.0.1",
                                        int(args["port"]), backlog=256)
    async with server:
        await server.serve_forever()


asyncio.run(main())
