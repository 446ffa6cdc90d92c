"""Streams are taken up at two machines after a third was lost; there are many tenants and two software versions."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import NET, TROUBLE, Replica, World, main, read_chunks, read_head, request_bytes

STREAMS = 24     # that are under way when the machines are lost
RETRIES = 2      # of a client, after a refusal
TENANTS = int(os.environ.get("TENANTS", "120"))


class Stream:
    """A client's stream, over its attempts."""

    def __init__(self, world, number):
        self.world, self.prompt = world, "aa%02x:198,bb%04x:628" % (number % 4, number)
        self.first, self.last, self.complete = None, 0, False

    async def attempt(self, address):
        """Returns the status of the answer; 0 without one."""
        more = [] if self.first is None else [("Last-Event-Id", str(self.last)), ("Resumes", self.first)]
        fields = self.world.fields(prompt=self.prompt, more=more)
        name, status, writer = dict(fields)["Attempt-Id"], 0, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
            self.world.record("%s sent to %s %s" % (name, address[0], more))
            writer.write(request_bytes("POST", "/ask/a", fields, b"question"))
            head = await asyncio.wait_for(read_head(reader), 12)
            status = head.status
            if status != 200:
                text = await reader.readexactly(int(head.get("Content-Length") or 0))
                self.world.record("%s answered %d %s" % (name, status, text.decode().strip()))
                self.wait = float(head.get("Retry-After") or 0)
                return status
            buffer = b""
            async for piece in read_chunks(reader):
                buffer += piece
                while b"\n\n" in buffer:
                    event, buffer = buffer.split(b"\n\n", 1)
                    self.last = int(event.split(b"\n")[0].split(b":")[1])
                    self.first = self.first or name
            self.complete = True
            self.world.record("%s complete with event %d" % (name, self.last))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.world.record("%s broken off after event %d" % (name, self.last))
        finally:
            if writer:
                writer.close()
        return status

    async def tries(self, address):
        """Whether one of a client's tries is answered with success."""
        self.wait = 0
        for _ in range(1 + RETRIES):
            if await self.attempt(address) == 200:
                return True
            await asyncio.sleep(min(self.wait, 3))
        return False


async def play(folder):
    world = World(folder, ["colombo"] * 3)
    world.TENANTS = World.TENANTS + [
        {"name": "cafe%03d" % i, "apiKeys": ["key-%03d" % i], "priority": 1, "unit": "tokens", "uncachedTokens": 200,
         "isolated": False, "ratePerS": 228279, "burst": 228279} for i in range(TENANTS - 2)]
    try:
        replicas = [Replica(NET + str(100 + i), world.store, "i-lm-%d" % i, "lm", zone, model="m0",
                            software=software)
                    for i, (zone, software) in enumerate(
                        [("colombo", "v1"), ("gampaha", "v1"), ("colombo", "v2"), ("kalutara", "v2")])]
        replicas.append(Replica(NET + "110", world.store, "i-ledger-0", "ledger", "colombo"))
        for replica in replicas:
            replica.events, replica.gap = 60, 0.1
        await world.start(replicas)
        await asyncio.sleep(4)  # all machines are in touch
        lost, others = world.instances[0], world.instances[1:]
        streams = [Stream(world, i) for i in range(STREAMS)]
        first = [asyncio.create_task(it.attempt(lost.callers)) for it in streams]
        await asyncio.sleep(2)
        if TROUBLE:
            lost.signal(signal.SIGKILL)
            world.record("killed " + lost.name)
        await asyncio.gather(*first, return_exceptions=True)
        begun = [it for it in streams if it.first and not it.complete]
        fresh = [Stream(world, 1000 + i) for i in range(STREAMS)]

        async def spread(list_, over):
            tasks = []
            for i, it in enumerate(list_):
                tasks.append(asyncio.create_task(it.tries(others[i % 2].callers)))
                await asyncio.sleep(over / max(1, len(list_)))
            return sum(await asyncio.gather(*tasks))

        resumed, new = await asyncio.gather(spread(begun, 5), spread(fresh, 5))
        world.record("%d of %d streams went on, %d of %d new streams began" %
                     (resumed, len(begun), new, len(fresh)))
        print("%d of %d streams went on, %d of %d new streams began" % (resumed, len(begun), new, len(fresh)))
        return len(begun) < 12 or resumed / len(begun) >= 0.5 * new / len(fresh)
    finally:
        world.end()


main(play, __file__)
