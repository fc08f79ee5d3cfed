"""Routers that restart forget the request that crashes servers."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import fleet as f  # noqa: E402

CONTACT_S = 3.0
DOWN_S = 3.0
POISON = b"a booking that no server survives"


async def case(fleet):
    record = fleet.record
    arrivals, crashes, lost, stopping = [], [], [], set()

    async def work(server, request, reader, writer):
        if request.body == POISON:
            arrivals.append(record.now())
            record(f"{server.id} runs the poison id={request.id}")
            await asyncio.sleep(0.15)
            crashes.append(record.now())
            record(f"{server.id} crashes, {server.running - 1} others in "
                   "flight")
            server.crash()
            fleet.spawn(back(server))
            return
        await asyncio.sleep(0.1)
        await f.plain_answer(server, request, reader, writer)

    async def back(server):
        await asyncio.sleep(DOWN_S)
        await fleet.store.remove("servers/" + server.id)
        await fleet.add_backend(f"{server.id}x", "desk", work=work,
                                port=server.port)

    await fleet.store.put("op/config", f.config(7, [
        f.route("book", "unsafe", "desk", 1500)], [f.service("desk")]))
    for i in range(8):
        await fleet.add_backend(f"i-{i}", "desk", work=work)
    for i in range(3):
        await fleet.add_router(f"front-{i}")
    await asyncio.sleep(CONTACT_S + 0.5)

    async def book(router, body):
        headers = fleet.headers(1500)
        id = headers["x-bramleyarch-request-id"]
        try:
            answer = await f.call(router.port, "POST", "/book/1", headers,
                                  body)
        except OSError:
            return
        if body == POISON:
            record(f"poison id={id} at {router.name}: {answer.text()}")
        elif answer.status != 200:
            lost.append(id)
            record(f"sound id={id} at {router.name}: {answer.text()}")

    async def sound():
        number = 0
        while True:
            number += 1
            router = fleet.routers[number % 3]
            if router.name not in stopping:
                fleet.spawn(book(router, b"book %d" % number))
            await asyncio.sleep(0.02)

    traffic = fleet.spawn(sound())
    for turn in range(9):
        await book(fleet.routers[turn % 3], POISON)
        await asyncio.sleep(0.7)
    if len(crashes) < 3:
        raise f.CouldNotRun("the request did not crash three servers")
    third = crashes[2]
    await asyncio.sleep(CONTACT_S)
    before = len(arrivals)
    for turn in range(6):
        await book(fleet.routers[turn % 3], POISON)
        await asyncio.sleep(0.3)
    record(f"before the restarts it reached servers {before} times; "
           f"{len(arrivals) - before} of 6 retries reached one since")
    for router in fleet.routers:
        if f.TROUBLE:
            stopping.add(router.name)
            router.signal(signal.SIGTERM)
            await router.ended()
            router.start()
            await router.wait_ready()
            stopping.discard(router.name)
        await asyncio.sleep(CONTACT_S + 0.5)  # in touch again
        for _ in range(5):
            await book(router, POISON)
            await asyncio.sleep(0.8)
    traffic.cancel()
    await asyncio.sleep(1.5)
    late = [t for t in arrivals if t > third + CONTACT_S]
    record.say(f"crashes: {len(crashes)}; the third at {third:.2f} s; retries "
               f"that reached servers later than ContactMs after it: "
               f"{len(late)}; sound bookings without an answer of a server: "
               f"{len(lost)}")
    if len(late) > 3:
        record.say("BUDGET: a request that crashes servers reached servers in "
                   "more than three retries")
        return f.BROKEN
    return f.HELD


f.main(HERE, case)
