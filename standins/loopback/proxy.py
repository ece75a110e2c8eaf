"""A TCP proxy on loopback that injects delays, resets, stalls, partitions."""

import asyncio

CHUNK_BYTES = 64 << 10


class Proxy:
    """Forwards connections to one address; faults can change at any time."""

    def __init__(self, target, max_connections=0):
        self.target = target
        self.max_connections = max_connections  # 0: no limit
        self.delay_s = 0.0
        self.is_cut_up = False  # bytes to the target are held back
        self.is_cut_down = False  # bytes from the target are held back
        self.silenced = set()  # connections that forward no more data
        self.refuses = False  # new connections are reset
        self.open = set()
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._accept, host, port,
                                                 backlog=512)
        return self.server.sockets[0].getsockname()[:2]

    async def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Resets all open connections."""
        for writers in list(self.open):
            for writer in writers:
                writer.transport.abort()

    def silence(self):
        """Stops forwarding on all open connections for good; new ones work."""
        self.silenced |= self.open

    def heal(self):
        self.delay_s = 0.0
        self.is_cut_up = self.is_cut_down = self.refuses = False

    async def _accept(self, reader, writer):
        is_full = 0 < self.max_connections <= len(self.open)
        if self.refuses or is_full:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self.open.add(pair)
        up = asyncio.ensure_future(
            self._pump(reader, target_writer, pair, True))
        down = asyncio.ensure_future(
            self._pump(target_reader, writer, pair, False))
        await asyncio.gather(up, down)
        self.open.discard(pair)
        self.silenced.discard(pair)

    async def _pump(self, reader, writer, pair, is_up):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self._is_held(pair, is_up):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, ConnectionError):
            for each in pair:
                each.transport.abort()

    def _is_held(self, pair, is_up):
        if any(each.transport.is_closing() for each in pair):
            raise ConnectionError("the other side has closed")
        if pair in self.silenced:
            return True
        return self.is_cut_up if is_up else self.is_cut_down
