"""Stand-ins and helpers that the cases share: the platform's store, backend
servers and clients that speak the messages of PROTOCOL.md, and routers that
are started with the command of the deploy file.

Everything runs on 127.0.0.1. The stand-ins live in the process of the case;
each router is a process of its own.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port():
    """A port that is free for TCP and UDP."""
    while True:
        port = random.randint(20000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get("x-bramleyarch-request-id", "")


async def read_request(reader):
    """Reads one request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    text = f"HTTP/1.1 {status} Status\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Condition()
        self.open = set()      # connections
        self.watching = set()  # connections whose watch waits
        self.muted = set()     # connections that are silent from now on
        self.down = False      # refuses all calls with 503
        self.idle_s = None     # closes connections that are idle so long
        self.calls = 0
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.lease_task = asyncio.ensure_future(self._expire_leases())

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease, (due, _) in list(self.leases.items()):
                if due < now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["Lease"] == lease]
        for key in keys:
            await self.remove(key)

    async def put(self, key, value, lease=0):
        """Writes a key and returns the revision: the acknowledgement."""
        self.revision += 1
        text = value if isinstance(value, str) else json.dumps(value)
        item = {"Key": key,
                "Value": base64.b64encode(text.encode()).decode(),
                "Revision": self.revision,
                "CreatedRev": self.items.get(key, {}).get(
                    "CreatedRev", self.revision),
                "Lease": lease}
        self.items[key] = item
        self.events.append(item)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"Key": key, "Revision": self.revision,
                            "Deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(read_request(reader),
                                                 self.idle_s)
                if request is None:
                    break
                answer = await self._answer(request, writer)
                if writer in self.muted:
                    # Silent for good: nothing is answered and nothing closed.
                    await asyncio.sleep(3600)
                body = json.dumps(answer[1]).encode()
                headers = [("Content-Type", "application/json"),
                           ("Content-Length", len(body))]
                if self.idle_s:
                    headers.append(
                        ("Keep-Alive", f"timeout={int(self.idle_s)}"))
                writer.write(head_bytes(answer[0], headers) + body)
                await writer.drain()
        except asyncio.TimeoutError:
            if writer in self.muted:
                await asyncio.sleep(3600)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            self.watching.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        self.calls += 1
        if writer in self.muted:
            return 503, {}
        path, _, query = request.target.partition("?")
        args = {}
        for part in query.split("&"):
            name, _, value = part.partition("=")
            args[name] = re.sub(
                "%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        if self.down:
            return 503, {}
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(args["Key"])
            return (200, item | {"AsOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix = args["PathPrefix"]
            after = args.get("After", "")
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return 200, {"Items": found, "MorePages": False,
                         "AsOf": self.revision}
        if path == "/kv-watch":
            return await self._watch(args, writer)
        if path == "/kv-lease":
            ttl = json.loads(request.body)["TtlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            await self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            call = json.loads(request.body)
            for row in call["ExpectedRevision"]:
                held = self.items.get(row["Key"], {}).get("Revision", 0)
                if held != row["Revision"]:
                    return 412, {"Items": []}
            for row in call["SetKeys"]:
                if row["Key"].startswith(("op/", "servers/")):
                    return 403, {}
                if row["Lease"] and row["Lease"] not in self.leases:
                    return 404, {}
            for row in call["SetKeys"]:
                await self.put(row["Key"],
                               base64.b64decode(row["Value"]).decode(),
                               row["Lease"])
            for key in call["Remove"]:
                await self.remove(key)
            return 200, {"Revision": self.revision}
        return 404, {}

    async def _watch(self, args, writer):
        prefix, after = args["PathPrefix"], int(args["After"])
        due = time.monotonic() + int(args["WaitMs"]) / 1000
        self.watching.add(writer)
        try:
            while True:
                found = [e for e in self.events
                         if e["Revision"] > after
                         and e["Key"].startswith(prefix)]
                left = due - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "AsOf": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.watching.discard(writer)


class Backend:
    """A backend server. `work` answers a request that this server runs."""

    def __init__(self, fleet, id, service, zone="a", slots=64, work=None,
                 port=0, cold_ms=0, sequence=1, born=None):
        self.fleet = fleet
        self.id = id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work or plain_answer
        self.port = port
        self.cold_ms = cold_ms
        self.sequence = sequence
        self.born = born or int(time.time() * 1000)
        self.connections = set()
        self.running = 0
        self.runs = []  # (time, request id)

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"Service": self.service, "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                "State": state, "ColdRemainingMs": self.cold_ms,
                "Sequence": self.sequence, "born": self.born}

    async def register(self, state="ready"):
        self.sequence += 1
        await self.fleet.store.put("servers/" + self.id, self.entry(state))

    def crash(self):
        """Ends the server: its port refuses, its connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                expected = request.headers.get(
                    "x-bramleyarch-expect-instance", self.id)
                if request.target == "/health":
                    await send_whole(writer, request, 200, b"", [
                        ("X-Bramleyarch-Instance-Id", self.id),
                        ("X-Bramleyarch-Cold-Ms", self.cold_ms)])
                    continue
                if expected != self.id:
                    await send_whole(writer, request, 421, b"", [
                        ("X-Bramleyarch-Instance-Id", self.id)])
                    continue
                self.runs.append((self.fleet.record.now(), request.id))
                self.running += 1
                try:
                    await self.work(self, request, reader, writer)
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.TimeoutError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def answer_headers(self, request):
        return [("X-Bramleyarch-Request-Id", request.id),
                ("X-Bramleyarch-Response-Signature", "3e1b.07.5a2"),
                ("X-Bramleyarch-Server-Load",
                 f"{self.running},0,{self.slots}")]


async def send_whole(writer, request, status, body, headers):
    writer.write(head_bytes(status, headers + [
        ("X-Bramleyarch-Request-Id", request.id),
        ("Content-Length", len(body))]) + body)
    await writer.drain()


async def plain_answer(server, request, _, writer):
    await asyncio.sleep(0.03)
    body = b"done " + request.id.encode()
    writer.write(head_bytes(200, server.answer_headers(request) + [
        ("Content-Length", len(body))]) + body)
    await writer.drain()


def event(number, size=60):
    return f"id: {number}\ndata: {'x' * size}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def stream_answer(server, request, _, writer, events, gap_s):
    """A stream of `events` events, one each `gap_s`."""
    writer.write(head_bytes(200, server.answer_headers(request) + [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        writer.write(chunk(event(number)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(self, fleet, name, zone="a", grace_s=8):
        self.fleet = fleet
        self.name = name
        self.process = None
        self.port, self.ready_port, beat, link = (
            free_port() for _ in range(4))
        self.fields = {
            "NodeName": name, "Zone": zone, "Region": "prairie",
            "Ip": "127.0.0.1", "Listen.Front": f"127.0.0.1:{self.port}",
            "Listen.Readiness": f"127.0.0.1:{self.ready_port}",
            "InternalPorts.0": beat, "InternalPorts.1": link,
            "Platform.Address": f"127.0.0.1:{fleet.store.port}",
            "Bounds.RetryBudgetRatio": 0.2, "Bounds.RetryBudgetSlack": 54,
            "Bounds.BudgetWindowS": 10, "Bounds.ColdOverage": 1.5,
            "Bounds.ColdSlack": 5, "Bounds.GraceS": grace_s,
            "Bounds.CapX": 2, "Bounds.DrainMs": 2000,
            "Bounds.ConfigApplyMs": 2000}
        self.settings = os.path.join(fleet.folder, name + ".ini")
        with open(os.path.join(ROOT, "deploy/router.ini"),
                  encoding="utf-8") as template:
            text = template.read()
        text = re.sub(r"\{\{([^}]*)\}\}",
                      lambda m: str(self.fields.get(m[1].strip(), "")), text)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"),
                  encoding="utf-8") as deploy:
            run = re.search(r'^run = "([^"]*)"', deploy.read(), re.M)[1]
        words = [self.settings if w == "/etc/bramleyarch/node.toml" else w
                 for w in run.split()]
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        try:
            self.process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "BRAMLEYARCH_SETTINGS": self.settings})
        except OSError as error:
            raise CouldNotRun(f"router does not start: {error}") from error
        finally:
            log.close()
        self.fleet.record(f"{self.name} started pid={self.process.pid}")

    def signal(self, number):
        self.fleet.record(
            f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.fleet.record(f"{self.name} ended rc={self.process.returncode}")

    def cpu_s(self):
        """Processor time that the process has used."""
        with open(f"/proc/{self.process.pid}/stat", encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def ready(self, limit_s=1.0):
        """Whether the router answers GET /readyz with 200 in time."""
        try:
            answer = await asyncio.wait_for(
                call(self.ready_port, "GET", "/readyz", {"host": "x"}),
                limit_s)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        due = time.monotonic() + limit_s
        while not await self.ready():
            if time.monotonic() > due or self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class Answer:
    """What a client saw. `whole` is false if the answer was cut."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = ""
        self.times = []

    def text(self):
        return (f"status={self.status} whole={self.whole} "
                f"bytes={len(self.body)} error={self.error or '-'}")


class Connection:
    """One connection of a client, kept for several requests."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def call(self, method, target, headers, body=b""):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1 << 20)
        answer = Answer()
        head = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        if body or method != "GET":
            head += f"content-length: {len(body)}\r\n"
        try:
            self.writer.write((head + "\r\n").encode("latin-1") + body)
            await self.writer.drain()
            await self._read(answer)
        except asyncio.IncompleteReadError:
            answer.error = "closed"
        except ConnectionError as error:
            answer.error = type(error).__name__
        if not answer.whole or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _read(self, answer):
        reader = self.reader
        lines = (await reader.readuntil(b"\r\n\r\n")).decode(
            "latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"-1", 16)
                if size < 0:
                    raise asyncio.IncompleteReadError(b"", None)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
                answer.times.append(time.monotonic())
        else:
            answer.body = await reader.readexactly(
                int(answer.headers.get("content-length", "0")))
        answer.whole = True

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(port, method, target, headers, body=b""):
    """One request on a connection of its own."""
    connection = Connection(port)
    try:
        return await connection.call(method, target, headers, body)
    finally:
        connection.close()


class Fleet:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.routers = []
        self.backends = []
        self.sent = 0
        self.tasks = set()

    def spawn(self, work):
        """Runs a coroutine beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def end_tasks(self):
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def add_backend(self, *args, **named):
        backend = Backend(self, *args, **named)
        await backend.start()
        await backend.register()
        self.backends.append(backend)
        return backend

    async def add_router(self, *args, **named):
        router = Router(self, *args, **named)
        self.routers.append(router)
        router.start()
        await router.wait_ready()
        return router

    def new_id(self):
        self.sent += 1
        return f"{self.sent:08x}{random.getrandbits(32):08x}"

    def headers(self, deadline_ms, key="key-one", id=None, **more):
        return {"host": "shop.example",
                "x-bramleyarch-request-id": id or self.new_id(),
                "x-bramleyarch-deadline-ms": deadline_ms,
                "authorization": "Bearer " + key,
                **{k.replace("_", "-"): v for k, v in more.items()}}

    def close(self):
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        # The logs stay for a look when KEEP names a folder.
        keep = os.environ.get("KEEP")
        for name in os.listdir(self.folder):
            path = os.path.join(self.folder, name)
            if keep:
                os.replace(path, os.path.join(keep, name))
            else:
                os.unlink(path)
        os.rmdir(self.folder)


def route(name, kind, service, timeout_ms, attempts=1, aim_ms=300, **more):
    return {"Name": name, "Host": "shop.example", "PathPrefix": f"/{name}/",
            "Kind": kind, "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms,
            "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "Public": False} | more


def service(name, cold_s=0.0, cold_per_s=0.0, engine=False):
    made = {"Name": name, "HealthPath": "/health", "MaxConnections": 360,
            "Protocol": "h1", "Tls": False, "ColdStartS": cold_s,
            "ColdPerS": cold_per_s}
    if engine:
        made["Engine"] = {"Slots": 64, "KvCapacityTokens": 383132,
                          "Models": [{"Name": "m"}]}
    return made


def config(version, routes, services, keys=("key-one", "key-two")):
    return {"Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "tenant-" + key, "ApiKeys": [key],
                         "Priority": 1} for key in keys]}


def main(folder, case):
    """Runs `case(fleet)`, which returns HELD or BROKEN."""
    record = Record(folder)
    record(f"trouble={'yes' if TROUBLE else 'no'}")

    async def run():
        fleet = Fleet(record)
        # A script that is ended early ends its routers too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await fleet.store.start()
            return await asyncio.wait_for(case(fleet), 110)
        finally:
            await fleet.end_tasks()
            fleet.close()

    try:
        result = asyncio.run(run())
    except (CouldNotRun, asyncio.TimeoutError, asyncio.CancelledError,
            OSError) as error:
        record.say(f"could not run: {error!r}")
        result = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
                COULD_NOT_RUN: "no result"}[result])
    sys.exit(result)
