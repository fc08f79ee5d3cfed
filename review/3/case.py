"""A server's endless event holds up a router for all its callers."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import fleet as f  # noqa: E402

TIMEOUT_MS = 800
LATE_S = 0.5
# Lines of an event that never ends, each in a chunk of its own.
ENDLESS = f.chunk(b"x\n") * 2048


async def llm_work(server, request, reader, writer):
    if f.TROUBLE and server.id == "i-llm-0":
        server.fleet.record(f"{server.id} begins an endless event "
                            f"id={request.id}")
        writer.write(f.head_bytes(200, server.answer_headers(request) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]) + f.chunk(f.event(1)))
        sent = 0
        try:
            while True:  # until the caller closes
                writer.write(ENDLESS)
                await writer.drain()
                sent += 2 * 2048
                await asyncio.sleep(0)
        finally:
            server.fleet.record(f"{server.id} caller closed id={request.id} "
                                f"after {sent} bytes")
    await f.stream_answer(server, request, reader, writer, 20, 0.04)


async def case(fleet):
    record = fleet.record
    await fleet.store.put("op/config", f.config(7, [
        f.route("chat", "streaming", "llm", 10000, attempts=2, aim_ms=1000,
                StreamResume=True, SessionAffinity=True, GapAimMs=600),
        f.route("stock", "safe", "desk", TIMEOUT_MS, attempts=2)],
        [f.service("llm", engine=True), f.service("desk")]))
    for i in range(3):
        await fleet.add_backend(f"i-llm-{i}", "llm", work=llm_work)
    for i in range(2):
        await fleet.add_backend(f"i-desk-{i}", "desk")
    router = await fleet.add_router("front-1")
    await asyncio.sleep(3.5)  # in touch: ContactMs after the start
    stop_at = record.now() + 30
    due, late = 0, 0
    times = []

    async def stock():
        nonlocal due, late
        headers = fleet.headers(5000)
        id = headers["x-bramleyarch-request-id"]
        sent = record.now()
        answer = await f.call(router.port, "GET", "/stock/1", headers)
        took = record.now() - sent
        times.append(took)
        if took > TIMEOUT_MS / 1000:
            due += 1
        if took > TIMEOUT_MS / 1000 + LATE_S:
            late += 1
        record(f"stock id={id} {answer.text()} took={took:.3f}s")

    async def chat(number):
        headers = fleet.headers(
            10000, x_bramleyarch_model="m",
            x_bramleyarch_token_count="960,160",
            x_bramleyarch_prompt_prefix=f"{5000 + number:x}:800,"
                                        f"{9000 + number:x}:160")
        id = headers["x-bramleyarch-request-id"]
        sent = record.now()
        answer = await f.call(router.port, "POST", "/chat/1", headers,
                              b"x" * 600)
        record(f"chat id={id} {answer.text()} took={record.now() - sent:.3f}s")

    lag, unready = [0.0], [0]

    async def watch_clock():
        """How late this process itself is, and whether the router answers
        the platform's question for its readiness."""
        while True:
            begin = record.now()
            await asyncio.sleep(0.05)
            lag[0] = max(lag[0], record.now() - begin - 0.05)

    async def ask_ready():
        while True:
            ok = await router.ready(1.0)
            unready[0] += not ok
            record(f"ready={ok} router_cpu_s={router.cpu_s():.2f}")
            await asyncio.sleep(1)

    fleet.spawn(watch_clock())
    fleet.spawn(ask_ready())
    tasks = []
    number = 0
    while record.now() < stop_at:
        tasks.append(fleet.spawn(stock()))
        number += 1
        if number % 10 == 0:
            tasks.append(fleet.spawn(chat(number)))
        await asyncio.sleep(0.1)
    done, open_ = await asyncio.wait(tasks, timeout=40)
    for task in done:
        if task.exception():
            record(f"client failed: {task.exception()!r}")
    record.say(f"{len(times)} lookups answered, {len(open_)} tasks open; "
               f"unanswered at their route's {TIMEOUT_MS} ms: {due}, still "
               f"0.5 s later: {late}; longest {max(times):.2f} s")
    record.say(f"this process was at most {lag[0]:.2f} s late itself; router's "
               f"processor time {router.cpu_s():.1f} s; readiness not "
               f"answered in 1 s: {unready[0]} times")
    if due >= 8 and late > due / 2:
        record.say("CONFIG: more than half of the requests that were still "
                   "unanswered at TimeoutMs had no answer 0.5 s later")
        return f.BROKEN
    return f.HELD


f.main(HERE, case)
