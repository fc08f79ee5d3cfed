"""A part of prompts that crashes each server that begins to write an answer."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))
from standins import *  # noqa: E402,F403

PART = "bad0c0de"     # the part that crashes servers
SHARED = "5c1e07a2"   # of all requests of the route
SERVERS = 9
DOWN_S = 3.0          # "the server is back after some seconds"
CONTACT_S = 3.0       # ContactMs
MOST_LATER = 3        # "More than three requests"
LENGTH_S = 50
EVENTS = 12
EVENT_S = 0.04
PREFILL_S = 0.08      # time to the first event
# Events that a server writes of an answer before it crashes.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))


def event(n):
    return b"id: %d\ndata: %s\n\n" % (n, b"x" * 40)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Engine(Server):
    """A model server: answers are streams of events."""

    crashes = []
    restarts = set()
    trouble = True

    async def _run(self, request, prompt, writer):
        born = self.born
        await asyncio.sleep(PREFILL_S)
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Bramleyarch-Request-Id: {request}\r\n"
                f"X-Bramleyarch-Response-Signature: s.{request}\r\n"
                f"X-Bramleyarch-Server-Load: {self.load()}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n").encode()
        bad = self.trouble and PART in prompt
        for n in range(EVENTS):
            if not self.up or self.born != born:
                return
            if bad and n == EVENTS_BEFORE_CRASH:
                self.crashes.append(self.record.now())
                self.crash()
                task = asyncio.create_task(self._restart())
                self.restarts.add(task)
                return
            writer.write((head if n == 0 else b"") + chunk(event(n + 1)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        self.record.line(f"answered {request} by {self.id}")

    async def _restart(self):
        await asyncio.sleep(DOWN_S)
        await self.start()

    def crash(self):
        # The bytes that were written have left when the process dies.
        writers, self.writers = self.writers, set()
        for writer in writers:
            writer.close()
        super().crash()

    async def _answer(self, head, body, writer):
        line, headers = head
        if line.startswith("GET /health"):
            return await super()._answer(head, body, writer)
        request = headers.get("x-bramleyarch-request-id", "")
        if headers.get("x-bramleyarch-expect-instance", self.id) != self.id:
            return await super()._answer(head, body, writer)
        prompt = headers.get("x-bramleyarch-prompt-prefix", "")
        self.arrivals.append((self.record.now(), request, prompt, body))
        self.record.line(f"arrives {request} prompt {prompt} at {self.id}")
        async with self.slot:
            self.running += 1
            born = self.born
            try:
                await self._run(request, prompt, writer)
            finally:
                if self.born == born:
                    self.running -= 1


async def case(record, trouble):
    fleet = Fleet(record)
    Engine.trouble = trouble
    servers = [Engine(fleet.store, record, "llm", ZONES[i % 3])
               for i in range(SERVERS)]
    config = config_of(
        [{"Name": "chat", "Host": "shop.example", "PathPrefix": "/chat/",
          "Kind": "streaming", "TimeoutMs": 12000, "TargetLatencyMs": 800,
          "Priority": 1, "Service": "llm", "MaxAttempts": 1, "Public": True,
          "SessionAffinity": True, "StreamResume": False, "GapAimMs": 400}],
        [{"Name": "llm", "HealthPath": "/health", "MaxConnections": 370,
          "Protocol": "h1", "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0,
          "Engine": {"Slots": 64, "KvCapacityTokens": 471922}}])

    def headers(parts):
        prefix = ",".join(f"{part}:{tokens}" for part, tokens in parts)
        return ("X-Bramleyarch-Model: m\r\nX-Bramleyarch-Token-Count: 900,72"
                f"\r\nX-Bramleyarch-Prompt-Prefix: {prefix}\r\n")

    sound = {"sent": 0, "whole": 0}
    try:
        await fleet.start(config, servers)
        end = time.monotonic() + LENGTH_S
        calls = set()

        async def background(router, n):
            rng = random.Random(n)
            while time.monotonic() < end:
                await asyncio.sleep(rng.expovariate(3))
                answer = await call(
                    router, "POST", f"/chat/{n}", b"{}", 12000, record,
                    headers=headers([(SHARED, 119), ("%x" % (4096 + n), 580),
                                     ("%x" % rng.getrandbits(32), 130)]))
                sound["sent"] += 1
                sound["whole"] += answer.whole and answer.status == 200

        for n, router in enumerate(fleet.routers * 3):
            calls.add(asyncio.create_task(background(router, n)))
        await asyncio.sleep(3)
        sent = 0
        while time.monotonic() < end - 2:
            # Requests with the part, no two alike, at any machine.
            answer = await call(
                fleet.routers[sent % len(fleet.routers)], "POST",
                f"/chat/p{sent}", b"{}", 12000, record,
                headers=headers([(SHARED, 119), (PART, 580),
                                 ("%x" % random.getrandbits(32), 130)]))
            record.line(f"request {sent + 1} with the part: {answer.status} "
                        f"whole {int(answer.whole)}")
            sent += 1
            await asyncio.sleep(1.0)
        await asyncio.gather(*calls)
    finally:
        fleet.close()
    crashes = Engine.crashes
    arrivals = sorted(at for server in servers
                      for at, _, prompt, _ in server.arrivals if PART in prompt)
    tail = f"sound requests: {sound['whole']} of {sound['sent']} whole"
    if len(crashes) < 5:
        text = (f"held: sent {sent} with the part, {len(crashes)} crashes, "
                f"{len(arrivals)} arrivals; {tail}")
        record.line(text)
        print(text)
        return True
    bound = crashes[4] + CONTACT_S
    later = [at for at in arrivals if at > bound]
    text = (f"sent {sent} with the part, {len(crashes)} crashes, fifth at "
            f"{crashes[4]:.1f} s; {len(later)} reached servers later than "
            f"{CONTACT_S:.0f} s after it (allowed {MOST_LATER}); {tail}")
    record.line(text)
    print(text)
    return len(later) <= MOST_LATER


run_case(case)
