"""A tenant is made isolated; requests of another tenant use the KV cache that it made before."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import NET, TROUBLE, CannotRun, Replica, World, call, main

CONFIG_APPLY_S = 2.0
PROMPTS = 12


class CachingReplica(Replica):
    """Keeps the parts of prompts under `Cache-Salt`; an absent value is one text shared by all."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.cache, self.shared, self.isolated = {}, [], ()
        self.events, self.gap = 5, 0.02

    async def stream(self, request, writer):
        salt, tenant = request.get("Cache-Salt", ""), request.get("Tenant")
        parts = [part.split(":")[0] for part in request.get("Prompt-Prefix").split(",")]
        for i in range(1, len(parts)):
            maker = self.cache.setdefault((salt, self.weights, tuple(parts[:i])), tenant)
            if maker != tenant:
                self.record("%s: %s of %s uses the part %s that %s made; Cache-Salt %r" %
                            (self.name, request.get("Attempt-Id"), tenant, parts[i - 1], maker, salt))
                if maker in self.isolated or tenant in self.isolated:
                    self.shared.append(request.get("Attempt-Id"))
        await super().stream(request, writer)


async def play(folder):
    world = World(folder, ["colombo", "gampaha"])
    world.TENANTS = [dict(it, isolated=False) for it in World.TENANTS]
    try:
        zones = ["colombo", "gampaha", "kalutara"]
        replicas = [CachingReplica(NET + str(100 + i), world.store, "i-lm-%d" % i, "lm", zone, model="m0")
                    for i, zone in enumerate(zones)]
        replicas.append(Replica(NET + "110", world.store, "i-ledger-0", "ledger", "colombo"))
        await world.start(replicas)
        await asyncio.sleep(4)

        async def ask(i, key):
            fields = world.fields(key=key, prompt="aa%02x:6300,bb%06x:290" % (i % PROMPTS, world.next_id))
            world.record("%s sent with %s" % (dict(fields)["Attempt-Id"], key))
            answer = await call(world.instances[i % 2].callers, "POST", "/ask/a", fields, b"question")
            world.record("%s answered %s" % (dict(fields)["Attempt-Id"], answer.status if answer else "nothing"))
            return answer is not None and answer.status == 200

        served = [await ask(i, "key-wall") for i in range(2 * PROMPTS)]
        if TROUBLE:
            world.TENANTS = [dict(it, isolated=it["name"] == "wall") for it in world.TENANTS]
            world.configure(version=2)
            world.record("configuration 2: the tenant wall is isolated")
            await asyncio.sleep(CONFIG_APPLY_S + 0.5)
            for it in replicas[:3]:
                it.isolated = ("wall",)
        for i in range(2 * PROMPTS):
            served.append(await ask(i, "key-acme"))
            served.append(await ask(i, "key-wall"))
        shared = sum(len(it.shared) for it in replicas[:3])
        text = "%d of %d requests served; %d used KV cache across the wall" % (sum(served), len(served), shared)
        world.record(text)
        print(text)
        if sum(served) < len(served) / 2:
            raise CannotRun("too few requests were served")
        return shared == 0
    finally:
        world.end()


main(play, __file__)
