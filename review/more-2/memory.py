"""Requests inside the limits, each with a prompt of many parts, at one machine of 110 MB. No case: see REPORT-2.md.

Exit 1: the process took more memory than the machine has. TROUBLE=0: the same requests with four parts each."""
import asyncio
import os
import resource
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import NET, TROUBLE, CannotRun, Replica, World, call, main

REQUESTS, MEMORY_MB = 600, 110
HEAD = 15500  # bytes of Prompt-Prefix; maxHeaderBytes is 16,384


def peak_kb(process):
    with open("/proc/%d/status" % process.pid, encoding="utf-8") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))


async def play(folder):
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    world = World(folder, ["colombo"], memoryMb=MEMORY_MB, maxFds=4100)
    try:
        replicas = [Replica(NET + str(100 + i), world.store, "i-lm-%d" % i, "lm", "colombo", model="m0", slots=64)
                    for i in range(12)]
        for it in replicas:
            it.events, it.gap = 10, 0.8
        await world.start(replicas)
        await asyncio.sleep(2)
        machine = world.instances[0]
        before = peak_kb(machine.process)

        async def one(number):
            part = "%x:1," % (number % 4096)
            prompt = part * (HEAD // len(part) if TROUBLE else 3) + "91bd%04x:8" % number
            answer = await call(machine.callers, "POST", "/ask/a", world.fields(prompt=prompt), b"q", timeout=14)
            return answer.status if answer else 0

        tasks = []
        for i in range(REQUESTS):
            tasks.append(asyncio.create_task(one(i)))
            await asyncio.sleep(0.004)
        statuses = await asyncio.gather(*tasks)
        peak = peak_kb(machine.process)
        text = "%d KB before, %d KB at the most, %d KB allowed; %d of %d requests answered 200" % (
            before, peak, MEMORY_MB * 1024, sum(it == 200 for it in statuses), REQUESTS)
        world.record(text)
        print(text)
        return peak <= MEMORY_MB * 1024
    finally:
        world.end()


main(play, __file__)
