"""Small stand-ins of the users' platform for the cases of review 3: the metadata store, replicas,
clients, and the settings and processes of `azureyoke route`. Python's standard library only.

They follow PROTOCOL.md as far as the cases need it and use loopback addresses only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "azureyoke")  # as deploy/system.toml names it


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)


# --- HTTP/1.1 ------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns (first line, fields with lower-case names), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status, body=b"", fields=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        fields = (("Content-Type", "application/json"), *fields)
    head = f"HTTP/1.1 {status} Status\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


# --- addresses -----------------------------------------------------------------------------------


def loopback_net():
    """A part of 127.0.0.0/8 that nothing else is likely to use now."""
    return f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"


def free_port(ips):
    """A port that is free at all these addresses, for TCP and UDP."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for it in held:
                it.close()
    raise CannotRun("no free port")


# --- the metadata store ----------------------------------------------------------------------------


class Store:
    """Rows with versions, conditional transactions and the feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value in base64, version)
        self.log = []  # (version, table, key, value or None)
        self.version = 0
        self.changed = asyncio.Event()
        self.links = {}  # name of an instance -> its link
        self.on_write = lambda name, table, key, value: None

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self._apply(table, key, text)
        self.wake()

    def remove(self, table, key):
        self.version += 1
        self._apply(table, key, None)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, table, key, text):
        if text is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (text, self.version)
        self.log.append((self.version, table, key, text))

    def _row(self, table, key, text, version):
        made = {"table": table, "part": "", "key": key, "ver": version}
        if text is None:
            made["tombstone"] = True
        else:
            made["value"] = text
        return made

    def get(self, query):
        keys = sorted(k for t, k in self.rows if t == query["table"])
        keys = [k for k in keys if k >= query.get("from", "")]
        if "to" in query:
            keys = [k for k in keys if k < query["to"]]
        most = min(int(query.get("limit", "500")), 500)
        rows = [self._row(query["table"], k, *self.rows[(query["table"], k)]) for k in keys[:most]]
        return {"rows": rows, "morePages": len(keys) > most, "ver": self.version, "nowMs": 0}

    async def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            newest = {}
            for version, table, key, text in self.log:
                if table == query["table"] and version > after:
                    newest[key] = (version, text)
            left = until - time.monotonic()
            if newest or left <= 0:
                rows = [self._row(query["table"], k, t, v) for k, (v, t) in newest.items()]
                rows.sort(key=lambda it: it["ver"])
                return {"rows": rows, "ver": self.version, "nowMs": 0}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, name, body):
        conflicts = []
        for it in body.get("precondition", []):
            text, version = self.rows.get((it["table"], it["key"]), (None, 0))
            if version != it["ver"]:
                conflicts.append(self._row(it["table"], it["key"], text, version))
        if conflicts:
            return 412, {"rows": conflicts, "ver": self.version, "nowMs": 0}
        self.version += 1
        for it in body.get("put", []):
            self._apply(it["table"], it["key"], it["value"])
            self.on_write(name, it["table"], it["key"], base64.b64decode(it["value"]).decode())
        for it in body.get("remove", []):
            self._apply(it["table"], it["key"], None)
        self.wake()
        return 200, {"ver": self.version, "nowMs": 0}

    async def serve(self, name, ip, port):
        """Serves one instance at an address of its own, which stands for its link to the store."""
        self.links[name] = Link()
        await self.links[name].listen(ip, port, lambda r, w: self._connection(name, r, w))

    async def _connection(self, name, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            path, _, text = target.partition("?")
            query = dict(it.split("=", 1) for it in text.split("&") if "=" in it)
            query = {k: _unquote(v) for k, v in query.items()}
            await asyncio.sleep(0.004)
            status, made = 404, {}
            if (method, path) == ("GET", "/rows-get"):
                status, made = 200, self.get(query)
            elif (method, path) == ("GET", "/rows-feed"):
                status, made = 200, await self.feed(query)
            elif (method, path) == ("POST", "/rows-tx"):
                status, made = self.transact(name, json.loads(body))
            writer.write(answer(status, made))
            await writer.drain()


def _unquote(text):
    from urllib.parse import unquote

    return unquote(text)


class Link:
    """Accepts connections until it is cut. A cut resets what is open and refuses what is new."""

    def __init__(self):
        self.is_cut = False
        self.open = set()
        self.server = None

    async def listen(self, ip, port, handler):
        async def on_connection(reader, writer):
            if self.is_cut:
                writer.transport.abort()
                return
            self.open.add(writer)
            try:
                await handler(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                pass
            except asyncio.CancelledError:
                return  # the case has ended
            finally:
                self.open.discard(writer)
                writer.close()

        self.server = await asyncio.start_server(on_connection, ip, port, backlog=512)

    def cut(self):
        self.is_cut = True
        for it in list(self.open):
            it.transport.abort()

    def heal(self):
        self.is_cut = False


# --- replicas ------------------------------------------------------------------------------------


class Replica:
    """A replica of one service. `run` answers the requests; subclasses say how."""

    def __init__(self, record, store, name, service, ip, port, zone, model=None, software="v1"):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.model = name, service, zone, model
        self.ip, self.port = ip, port
        self.software = software
        self.weights = 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.orders = 0
        self.busy = False
        self.runs = {}  # Attempt-Id -> when it began
        self.link = Link()

    async def start(self):
        await self.link.listen(self.ip, self.port, self._connection)
        self.beat()

    def beat(self):
        self.beats += 1
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": self.software, "slots": 64, "state": self.state, "coldRemainingMs": 0,
                 "sequence": self.beats, "born": self.born}
        if self.model:
            entry["stage"] = "both"
            entry["models"] = [{"name": self.model, "version": self.weights, "adapters": []}]
        self.store.put("servers", self.name, entry)

    async def beats_on(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def report(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        runs = [[it, 1000, 1, 0] for it in self.runs]
        return {"stage": "both", "models": models, "busy": self.busy, "sequence": self.orders,
                "queued": 0, "active": len(self.runs), "kvUsed": 0, "kvTotal": 90000,
                "handles": 0, "state": self.state, "runs": runs}

    async def _connection(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            fields = head[1]
            body = await read_body(reader, fields)
            if fields.get("expect-instance", self.name) != self.name:
                writer.write(answer(421, b"", (("Instance-Id", self.name),)))
            elif target == "/healthz":
                writer.write(answer(200, b"", (("Instance-Id", self.name),)))
            elif (method, target) == ("GET", "/report"):
                writer.write(answer(200, self.report()))
            elif (method, target) == ("POST", "/order"):
                made = self.order(json.loads(body))
                if made is None:
                    continue  # no answer
                writer.write(made)
            else:
                await self.run(target, fields, body, writer)
            await writer.drain()

    def order(self, order):
        return answer(400)

    async def run(self, target, fields, body, writer):
        raise NotImplementedError

    def head_of_stream(self, fields):
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields['attempt-id']}\r\n"
                f"Server-Stamp: stamp.{self.name}\r\nContent-Type: text/event-stream\r\n"
                f"Weight-Versions: {self.weights}\r\nServer-Load: {len(self.runs)},0,64\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()


def event(number):
    text = f"id: {number}\ndata: token {number}\n\n".encode()
    return f"{len(text):x}\r\n".encode() + text + b"\r\n"


END_OF_STREAM = b"0\r\n\r\n"


# --- clients -------------------------------------------------------------------------------------


async def call(address, method, target, fields, body=b"", within=20):
    """Sends one request on a new connection. Returns (status, fields, body, whole)."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        head = f"{method} {target} HTTP/1.1\r\n"
        for name, value in fields:
            head += f"{name}: {value}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write((head + "\r\n").encode("latin-1") + body)
        return await asyncio.wait_for(_read_answer(reader), within)
    finally:
        writer.close()


async def _read_answer(reader):
    head = await read_head(reader)
    if head is None:
        return 0, {}, b"", False
    status = int(head[0].split(" ")[1])
    got = b""
    try:
        if head[1].get("transfer-encoding", "").lower() != "chunked":
            return status, head[1], await read_body(reader, head[1]), True
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return status, head[1], got, True
            got += piece[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return status, head[1], got, False


# --- instances -----------------------------------------------------------------------------------


class Instances:
    """Processes of `azureyoke route`, started with the command of the deploy file."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="azureyoke-review-")
        self.processes = {}
        self.settings = {}

    def add(self, name, zone, ip, ports, store, seeds, **more):
        settings = {
            "instance": name,
            "data_centre": zone,
            "callers": f"{ip}:{ports[0]}",
            "readiness": f"{ip}:{ports[1]}",
            "operators": f"{ip}:{ports[2]}",
            "peers": f"{ip}:{ports[3]}",
            "registry": store,
            "seeds": seeds,
            "drain_limit_ms": 7400,
            "retry_share": 0.2,
            "retry_reserve": 56,
            "limit_window_s": 8,
            "weights_limit_ms": 6000,
            "registry_readers": 2,
            "memory_mb": 110,
            "features": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                         "stream", "engine", "tenants", "quota", "platform"],
        }
        settings.update(more)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.settings[name] = settings
        log = open(os.path.join(self.folder, name + ".log"), "a", encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "AZUREYOKE_CONFIG": path}
        self.processes[name] = subprocess.Popen(
            [PROGRAM, "route"], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record.add(f"instance {name} started")

    async def ready(self, name, within=15):
        ip, port = self.settings[name]["readiness"].split(":")
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.processes[name].poll() is not None:
                raise CannotRun(f"instance {name} ended by itself")
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and head[0].split(" ")[1] == "200":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"instance {name} is not ready in time")

    def ended(self):
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def end(self):
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGKILL)
        for it in self.processes.values():
            it.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, folder):
    """Plays a case and ends with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.add("trouble " + ("on" if trouble else "off"))
    if not os.access(PROGRAM, os.X_OK):
        print("target/azureyoke is not built", file=sys.stderr)
        sys.exit(2)
    instances = Instances(record)

    async def bounded():
        return await asyncio.wait_for(play(record, instances, trouble), 110)

    code = 2
    try:
        broken = asyncio.run(bounded())
        for it in broken:
            record.add("BROKEN " + it)
        record.add("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.add(f"the case could not run: {failure!r}")
    finally:
        instances.end()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
