"""Stand-ins of the platform's store, of replicas and of clients, and a launcher of `azureyoke route`.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Everything listens on loopback addresses that
this process picks. Python's standard library only."""
import asyncio
import base64
import json
import os
import random
import re
import resource
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PRODUCT = os.path.join(ROOT, "target", "azureyoke")
NET = "127.%d.%d." % (random.SystemRandom().randrange(10, 250), random.SystemRandom().randrange(1, 250))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


class Message:
    """A request or an answer."""

    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first[0]

    @property
    def target(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0].split(" ", 2), fields)


async def read_chunks(reader):
    """Yields the chunks of a body until its end."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield piece[:-2]


async def read_message(reader):
    message = await read_head(reader)
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        message.body = b"".join([piece async for piece in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def render(status, fields, body=b""):
    reason = {200: "OK", 202: "Accepted", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    text = "HTTP/1.1 %d %s\r\n" % (status, reason)
    text += "".join("%s: %s\r\n" % field for field in fields)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


def reset(writer):
    writer.transport.abort()


class Server:
    """Accepts connections and hands each request to `handle(request, writer)`."""

    def __init__(self, ip, port=0):
        self.ip, self.port, self.server, self.writers = ip, port, None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=2000)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.handle(await read_message(reader), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows-tx, rows-get and rows-feed."""

    def __init__(self, ip):
        super().__init__(ip)
        self.rows, self.version, self.changed, self.log = {}, 0, asyncio.Event(), []
        self.down = False  # it answers every call with 503: nothing was done

    def put(self, table, key, value):
        self.version += 1
        row = {"table": table, "part": "", "key": key, "ver": self.version,
               "value": base64.b64encode(value.encode()).decode()}
        self.rows[(table, key)] = row
        self.note(row)

    def remove(self, table, key):
        if self.rows.pop((table, key), None):
            self.version += 1
            self.note({"table": table, "part": "", "key": key, "ver": self.version, "tombstone": True})

    def note(self, row):
        self.log.append(row)
        self.wake()

    def set_down(self, down):
        self.down = down
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, writer, status, **fields):
        body = json.dumps(dict(fields, ver=self.version, nowMs=int(time.monotonic() * 1000)))
        writer.write(render(status, [("Content-Type", "application/json"), ("Store-Era", "1")], body.encode()))

    async def handle(self, request, writer):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.down:
            self.answer(writer, 503)
        elif url.path == "/rows-get":
            rows = sorted((row for (table, key), row in self.rows.items()
                           if table == query["table"] and key >= query.get("from", "")
                           and ("to" not in query or key < query["to"])),
                          key=lambda row: row["key"].encode())
            limit = int(query.get("limit", 500))
            self.answer(writer, 200, rows=rows[:limit], morePages=len(rows) > limit)
        elif url.path == "/rows-feed":
            after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = [row for row in self.log if row["table"] == query["table"] and row["ver"] > after]
                left = until - time.monotonic()
                if self.down:
                    self.answer(writer, 503)
                    return
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            self.answer(writer, 200, rows=rows)
        elif url.path == "/rows-tx":
            call = json.loads(request.body)
            held = [self.rows.get((row["table"], row["key"])) for row in call.get("precondition", [])]
            if any((row["ver"] if row else 0) != wanted["ver"]
                   for row, wanted in zip(held, call.get("precondition", []))):
                self.answer(writer, 412, rows=[row for row in held if row])
                return
            for row in call.get("put", []):
                self.put(row["table"], row["key"], base64.b64decode(row["value"]).decode())
            for row in call.get("remove", []):
                self.remove(row["table"], row["key"])
            self.answer(writer, 200)
        else:
            self.answer(writer, 404)


class Replica(Server):
    """A sound replica of one service. A model replica streams `events` numbered events."""

    def __init__(self, ip, store, name, service, zone, model=None, slots=64, software="v1"):
        super().__init__(ip)
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.model, self.slots, self.software = model, slots, software
        self.weights, self.sequence, self.beats, self.busy = 1, 0, 0, False
        self.born = int(time.time() * 1000)
        self.running = {}  # by id of the request: the events made so far
        self.ran = []      # (time, id, path, fields)
        self.events, self.gap, self.waiting = 20, 0.1, 0
        self.record = lambda text: None

    def entry(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}] if self.model else []
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
                "slots": self.slots, "state": "ready", "coldRemainingMs": 0, "stage": "both",
                "models": models, "sequence": self.beats, "born": self.born}

    def register(self):
        self.beats += 1
        self.store.put("servers", self.name, json.dumps(self.entry()))

    async def start(self):
        await self.open()
        self.register()

    def fields(self, request):
        fields = [("Attempt-Id", request.get("Attempt-Id", "")), ("Server-Stamp", "stamp-" + self.name),
                  ("Server-Load", "%d,%d,%d" % (len(self.running), self.waiting, self.slots))]
        return fields + ([("Weight-Versions", str(self.weights))] if self.model else [])

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        if request.get("Expect-Instance", self.name) != self.name or \
                request.get("Expect-Version", str(self.weights)) != str(self.weights):
            writer.write(render(421, [("Instance-Id", self.name), ("Not-Executed", "1"),
                                      ("Attempt-Id", request.get("Attempt-Id", ""))]))
        elif path == "/healthz":
            writer.write(render(200, [("Instance-Id", self.name)]))
        elif path == "/report":
            report = {"stage": "both", "models": self.entry()["models"], "busy": self.busy,
                      "sequence": self.sequence, "queued": self.waiting, "active": len(self.running),
                      "born": self.born, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "state": "ready", "next": 0,
                      "runs": [[name, 100, made, 5] for name, made in self.running.items()]}
            writer.write(render(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif self.model:
            await self.stream(request, writer)
        else:
            await self.run(request, writer)

    def note_run(self, request):
        self.ran.append((time.monotonic(), request.get("Attempt-Id"), request.target, request.fields))
        self.record("%s runs %s %s %s" % (self.name, request.get("Attempt-Id"), request.method, request.target))

    async def run(self, request, writer):
        self.note_run(request)
        writer.write(render(200, self.fields(request), b"done\n"))

    async def stream(self, request, writer):
        name = request.get("Attempt-Id")
        self.note_run(request)
        first = int(request.get("Last-Event-Id") or 0) + 1
        self.running[name] = first - 1
        try:
            head = self.fields(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % f for f in head) + "\r\n").encode())
            for number in range(first, self.events + 1):
                await self.before_event(name, number, writer)
                if writer.is_closing():
                    raise ConnectionError
                event = b"id: %d\ndata: word %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.running[name] = number
            writer.write(b"0\r\n\r\n")
        finally:
            del self.running[name]

    async def before_event(self, name, number, writer):
        await asyncio.sleep(self.gap)


def fill(template, values):
    """Fills in a settings template as DEPLOY.md tells."""
    def value_of(name):
        value = values
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match):
        items = value_of(match.group(1))
        return "".join(match.group(2).replace("{{.}}", str(item)).replace("{{,}}", "," if i + 1 < len(items) else "")
                       for i, item in enumerate(items))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value_of(match.group(1))), text)


class Instance:
    """One machine with `azureyoke route`, as deploy/system.toml starts it."""

    def __init__(self, number, zone, store, seeds, folder, settings):
        self.ip, self.zone, self.process = NET + str(number), zone, None
        self.name = "edge-%s-%d" % (zone, number)
        self.values = {
            "nodeName": self.name, "zone": zone, "ip": self.ip, "internalPorts": [7600, 7615], "seedNodes": seeds,
            "listen": {"frontend": self.ip + ":8606", "ready": self.ip + ":8605", "controlPlane": self.ip + ":8608"},
            "platform": {"address": store.address}, "limits": {"memoryMb": settings.get("memoryMb", 110)},
            "bounds": {"retryBudgetRatio": 0.2, "retryBudgetExtra": 56, "quotaWindowS": 8, "versionMs": 6000},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
                          "tenants", "quota", "platform"]}
        self.descriptors = settings.get("maxFds", 4100)
        self.file = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.json.in"), encoding="utf-8") as template:
            text = fill(template.read(), self.values)
        with open(self.file, "w", encoding="utf-8") as out:
            out.write(text)
        limit = (self.descriptors, self.descriptors)
        self.process = subprocess.Popen(
            [PRODUCT, "route"], cwd=ROOT, stdout=open(self.log, "a", encoding="utf-8"), stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "AZUREYOKE_CONFIG": self.file},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def callers(self):
        return self.ip, 8606

    async def ready(self):
        answer = await call((self.ip, 8605), "GET", "/readyz", [("Host", "x")], timeout=1)
        return answer is not None and answer.status == 200


async def call(address, method, target, fields, body=b"", timeout=10.0):
    """Sends one request on a new connection. Returns the whole answer, or nothing without one."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), min(1.0, timeout))
        writer.write(request_bytes(method, target, fields, body))
        return await asyncio.wait_for(read_message(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.close()


def request_bytes(method, target, fields, body=b""):
    text = "%s %s HTTP/1.1\r\n" % (method, target) + "".join("%s: %s\r\n" % field for field in fields)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class World:
    """A small deployment: a store, replicas of `lm` and `ledger`, and instances."""

    ROUTES = [
        {"name": "ask", "host": "h.example", "prefix": "/ask/", "kind": "stream", "timeoutMs": 12000,
         "targetLatencyMs": 400, "gapTargetMs": 400, "priority": 0, "service": "lm", "maxAttempts": 2,
         "public": False, "sticky": True, "resumable": True},
        {"name": "pay", "host": "h.example", "prefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 12000,
         "targetLatencyMs": 100, "priority": 2, "service": "ledger", "maxAttempts": 1, "public": False},
        {"name": "look", "host": "h.example", "prefix": "/look/", "kind": "idempotent", "timeoutMs": 12000,
         "targetLatencyMs": 100, "priority": 2, "service": "ledger", "maxAttempts": 2, "public": False}]
    TENANTS = [{"name": "acme", "apiKeys": ["key-acme"], "priority": 1, "unit": "tokens", "uncachedTokens": 200,
                "isolated": False},
               {"name": "wall", "apiKeys": ["key-wall"], "priority": 1, "unit": "tokens", "uncachedTokens": 200,
                "isolated": True}]

    def __init__(self, folder, zones, **settings):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory(prefix="azureyoke-review-")
        self.store = Store(NET + "200")
        self.zones, self.settings = zones, settings
        self.instances, self.replicas, self.next_id = [], [], 0
        self.run_name = "%08x" % random.SystemRandom().getrandbits(32)

    def configure(self, version=1, routes=None, limits=None):
        config = {"version": version, "routes": routes or self.ROUTES, "tenants": self.TENANTS,
                  "services": [
                      {"name": "lm", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": False,
                       "engine": {"slots": 64, "kvCapacityTokens": 94603, "kvBytes": 163840,
                                  "models": [{"name": "m0"}]}},
                      {"name": "ledger", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1",
                       "tls": False}],
                  "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                       "idleTimeoutMs": 15000}}
        self.store.put("op", "config", json.dumps(config))

    async def start(self, replicas):
        await self.store.open()
        self.configure()
        for replica in replicas:
            self.replicas.append(replica)
            replica.record = self.record
            await replica.start()
        seeds = ["%s%d:8608" % (NET, i + 1) for i in range(min(3, len(self.zones)))]
        for i, zone in enumerate(self.zones):
            self.instances.append(Instance(i + 1, zone, self.store, seeds, self.folder.name, self.settings))
            self.instances[-1].start()
        await self.until_ready()

    async def until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        for instance in self.instances:
            while not await instance.ready():
                if time.monotonic() > until:
                    raise CannotRun("%s is not ready" % instance.name)
                await asyncio.sleep(0.1)
        self.record("all %d instances are ready" % len(self.instances))

    def fields(self, key="key-acme", deadline_ms=12000, prompt="", more=()):
        self.next_id += 1
        fields = [("Host", "h.example"), ("Attempt-Id", "%s%08x" % (self.run_name, self.next_id)),
                  ("X-Api-Key", key), ("Deadline-Ms", str(deadline_ms))]
        if prompt:
            fields += [("Model", "m0"), ("Token-Count", "826,49"), ("Prompt-Prefix", prompt)]
        return fields + list(more)

    def end(self):
        for instance in self.instances:
            instance.kill()
        self.folder.cleanup()


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def main(play, file):
    """Plays a case. `play(folder)` returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(file))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    if not os.path.exists(PRODUCT):
        print("build target/ first", file=sys.stderr)
        sys.exit(2)

    async def bounded():
        # Connections that are open at the end are no finding.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(play(folder), 115)

    try:
        held = asyncio.run(bounded())
    except Exception as ec:  # only a finding may end with 1
        print("the case could not run: %r" % ec, file=sys.stderr)
        sys.exit(2)
    try:
        print("the rule held" if held else "the rule was broken", flush=True)
    except OSError:
        pass  # nobody reads it
    os._exit(0 if held else 1)
