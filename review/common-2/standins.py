"""Stand-ins of the platform, the servers and the clients, and a small fleet.

The routers are the project's own program, started with the command and the
settings template of the deploy file. Store and servers are small programs of
this folder that speak the messages of the pages, on loopback, in the process of
the script. Nothing here needs a package beyond the Python interpreter that the
project's own tools use.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zone-a", "zone-b", "zone-c"]
REGION = "region"
# Of the sheet of the small site that claim.txt names.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
          "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
          "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
          "FailClosed": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
          "BudgetWindowS": 10, "RetryBudgetSlack": 56, "ColdOverage": 1.5,
          "ColdSlack": 5, "EvacuateMs": 5000, "RecoveryS": 12, "PassMs": 120,
          "ReuseWindowS": 10, "CapX": 2}
HEARTBEAT_S = 1.2
_given = set()


def free_port():
    """A port that is free for TCP and UDP on 127.0.0.1; none is given twice."""
    while True:
        port = random.randint(11000, 31000)
        if port in _given:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind(("127.0.0.1", port))
        except OSError:
            continue
        _given.add(port)
        return port


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self):
        self.file.close()


# --- HTTP/1.1 ---------------------------------------------------------------

async def read_head(reader):
    """First line and headers (lower-case names) of a message, or None."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Body in chunks; raises when the connection ends before its end."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body=b""):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition",
              421: "Misdirected Request", 503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {reason.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


# --- the platform's store ---------------------------------------------------

class Store:
    """Linearizable key-value store with watches and leases."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.port = free_port()
        self.mode = "good"  # or "busy": every call gets 503, nothing is done
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22)

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"Key": key, "Value": value,
                           "Revision": self.revision,
                           "CreatedRev": old["CreatedRev"] if old
                           else self.revision, "Lease": lease}
        self.events.append(dict(self.items[key]))
        self._wake()
        return self.revision

    def put_json(self, key, value):
        return self.put(key, base64.b64encode(
            json.dumps(value).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"Key": key, "Revision": self.revision,
                            "Deleted": True})
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, due) in self.leases.items() if due < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                status, answer = await self._call(method, target, body)
                writer.write(answer_bytes(
                    status, {"Content-Type": "application/json"},
                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        await asyncio.sleep(0.004)
        if self.mode == "busy":
            return 503, {}
        self._expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "AsOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["PathPrefix"])
                          and k > query.get("After", ""))
            return 200, {"Items": [self.items[k] for k in keys[:500]],
                         "MorePages": len(keys) > 500, "AsOf": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        call = json.loads(body) if body else {}
        if path == "/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            ttl = max(call["TtlMs"], 1000)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"Lease": lease, "TtlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"TtlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            for row in call.get("ExpectedRevision", []):
                item = self.items.get(row["Key"])
                if (item["Revision"] if item else 0) != row["Revision"]:
                    return 412, {"Items": [
                        self.items[r["Key"]] for r in call["ExpectedRevision"]
                        if r["Key"] in self.items]}
            for entry in call.get("SetKeys", []):
                if entry.get("Lease") and entry["Lease"] not in self.leases:
                    return 404, {}
                self.put(entry["Key"], entry["Value"], entry.get("Lease", 0))
            for key in call.get("Remove", []):
                self.remove(key)
            return 200, {"Revision": self.revision}
        return 404, {}

    async def _watch(self, query):
        after = int(query["After"])
        due = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if self.mode == "busy":
                return 503, {}
            events = [e for e in self.events if e["Revision"] > after
                      and e["Key"].startswith(query["PathPrefix"])]
            left = due - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass


# --- servers ----------------------------------------------------------------

class Server:
    """A server: each start is a new incarnation, by default with a new id."""

    def __init__(self, store, record, service, zone, slots=64, work_s=0.01,
                 on_run=None):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.on_run = on_run  # called with (server, run) before the work
        self.port = free_port()
        self.id = None
        self.up = False
        self.writers = set()
        self.running = 0
        self.arrivals = []  # (time, request id, path, body)
        self.runs = []
        self.cold_until = 0.0
        self.max_connections = None  # those beyond are reset
        self._tasks = set()

    async def start(self, same_id=False):
        if not (same_id and self.id):
            self.id = "i-" + uuid.uuid4().hex[:10]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.state = "ready"
        self.written = None
        self.up = True
        self.listener = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22)
        self.record.line(f"server {self.id} of {self.service} starts at "
                         f"127.0.0.1:{self.port}")
        self.beat = asyncio.create_task(self._beat(self.id, self.born))

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def _beat(self, server_id, born):
        """Writes the entry at once and every heartbeat, if it has changed."""
        while self.up and self.born == born:
            self.sequence += 1
            entry = {"Service": self.service,
                     "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                     "Version": "v1", "Slots": self.slots,
                     "State": self.state,
                     "ColdRemainingMs": self.cold_left_ms(), "born": born}
            if self.store.mode == "good" and (
                    entry != self.written
                    or "servers/" + server_id not in self.store.items):
                self.store.put_json("servers/" + server_id,
                                    {**entry, "Sequence": self.sequence})
                self.written = entry
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process dies: its sockets close; its entry lapses later."""
        if not self.up:
            return
        self.up = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.record.line(f"server {self.id} crashes")
        task = asyncio.create_task(self._lapse(self.id, self.born))
        self._tasks.add(task)

    async def _lapse(self, server_id, born):
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.up and self.id == server_id):
            self.store.remove("servers/" + server_id)

    async def _serve(self, reader, writer):
        if not self.up or (self.max_connections is not None and
                           len(self.writers) >= self.max_connections):
            writer.transport.abort()
            return
        born = self.born
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not self.up or self.born != born:
                    return
                await self._answer(head, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def _answer(self, head, body, writer):
        line, headers = head
        method, target, _ = line.split(" ", 2)
        if target == "/health":
            writer.write(answer_bytes(200, {
                "X-Bramleyarch-Instance-Id": self.id,
                "X-Bramleyarch-Cold-Ms": self.cold_left_ms(),
                "X-Bramleyarch-Server-Load": self.load()}))
            return
        request = headers.get("x-bramleyarch-request-id", "")
        expected = headers.get("x-bramleyarch-expect-instance", self.id)
        if expected != self.id:
            writer.write(answer_bytes(421, {
                "X-Bramleyarch-Request-Id": request,
                "X-Bramleyarch-Instance-Id": self.id}))
            return
        at = self.record.now()
        self.arrivals.append((at, request, target, body))
        self.record.line(f"arrives {request} {method} {target} at {self.id}")
        async with self.slot:
            if not self.up:
                return
            self.running += 1
            self.record.line(f"runs {request} at {self.id}")
            self.runs.append((at, request, target, body))
            born = self.born
            try:
                if self.on_run and await self.on_run(self, target, body):
                    return
                await asyncio.sleep(self.work_s)
            finally:
                if self.born == born:
                    self.running -= 1
        if not self.up or self.born != born:
            return
        text = b"answer of " + self.id.encode() + b" to " + request.encode()
        writer.write(answer_bytes(200, {
            "X-Bramleyarch-Request-Id": request,
            "X-Bramleyarch-Response-Signature": "s." + request,
            "X-Bramleyarch-Server-Load": self.load()}, text))
        self.record.line(f"answered {request} by {self.id}")


# --- routers ----------------------------------------------------------------

def render(template, fields):
    """Fills the placeholders that deploy/router.ini uses."""
    def value(match):
        at = fields
        for part in match.group(1).split("."):
            at = at[int(part)] if isinstance(at, list) else at.get(part, "")
            if at == "":
                return ""
        return json.dumps(at) if isinstance(at, bool) else str(at)
    return re.sub(r"{{([A-Za-z0-9_.]+)}}", value, template)


class Router:
    def __init__(self, name, zone, store, folder, record):
        self.name = name
        self.record = record
        self.front, self.ready_port = free_port(), free_port()
        internal = [free_port(), free_port()]
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        self.settings = os.path.join(folder, name + ".ini")
        with open(self.settings, "w") as file:
            file.write(render(template, {
                "NodeName": name, "Zone": zone, "Region": REGION,
                "Ip": "127.0.0.1", "InternalPorts": internal,
                "Listen": {"Front": f"127.0.0.1:{self.front}",
                           "Readiness": f"127.0.0.1:{self.ready_port}"},
                "Limits": {"MemoryMb": 260, "MaxFds": 4100},
                "Bounds": BOUNDS,
                "Platform": {"Address": f"127.0.0.1:{store.port}"}}))
        self.command = role["run"].split()
        self.command = [os.path.join(ROOT, self.command[0])] + [
            self.settings if word == "/etc/bramleyarch/node.toml" else word
            for word in self.command[1:]]
        self.log = open(os.path.join(folder, name + ".log"), "a")
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""),
                 "BRAMLEYARCH_SETTINGS": self.settings})
        self.record.line(f"router {self.name} starts, process "
                         f"{self.process.pid}")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                "127.0.0.1", self.ready_port), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """Store, routers and servers of one run; `close` ends all of it."""

    def __init__(self, record, routers=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.routers = [Router(f"front-{ZONES[i % 3]}-{i}", ZONES[i % 3],
                               self.store, self.folder, record)
                        for i in range(routers)]
        self.servers = []

    async def start(self, config, servers):
        await self.store.start()
        self.store.put_json("op/config", config)
        self.servers = servers
        for server in servers:
            await server.start()
        for router in self.routers:
            router.start()
        due = time.monotonic() + 15
        while time.monotonic() < due:
            if all([await r.is_ready() for r in self.routers]):
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the routers are not ready")

    def close(self):
        for router in self.routers:
            router.end()
            router.log.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
            return
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def config_of(routes, services, version=1, **more):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            **more}


# --- clients ----------------------------------------------------------------

class Answer:
    def __init__(self, status, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole


async def call(router, method, path, body=b"", deadline_ms=1500, record=None,
               request_id=None, connection=None, headers=""):
    """One client attempt on a connection of its own, or on `connection`.
    Status 0: the connection ended or the time passed without an answer."""
    request_id = request_id or uuid.uuid4().hex[:16]
    if record:
        record.line(f"sends {request_id} {method} {path} to {router.name}")
    answer = Answer(0)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.3):
            reader, writer = connection or await asyncio.open_connection(
                "127.0.0.1", router.front, limit=1 << 22)
            head = (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"X-Bramleyarch-Request-Id: {request_id}\r\n"
                    f"X-Bramleyarch-Deadline-Ms: {deadline_ms}\r\n{headers}")
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            first = await read_head(reader)
            if first:
                answer = Answer(int(first[0].split(" ")[1]), first[1])
                answer.body = await read_body(reader, first[1])
                answer.whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        pass
    finally:
        if writer and not connection:
            writer.close()
    if record:
        record.line(f"gets {request_id} status {answer.status} "
                    f"whole {int(answer.whole)}")
    answer.id = request_id
    return answer


def run_case(case):
    """Runs `case(record, trouble)`, which returns whether the rule held."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = 2
    try:
        if not os.path.exists(os.path.join(
                ROOT, "target/source/router/bramleyarch")):
            raise RuntimeError("the router is not built")
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 112))
        result = 0 if held else 1
    except Exception as error:  # the case could not run
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.line(f"exit {result}")
    record.close()
    sys.exit(result)
