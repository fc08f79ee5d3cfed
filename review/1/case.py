"""A planned stop cuts a stream that was taken after the SIGTERM."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import fleet as f  # noqa: E402

GRACE_S = 8
GAP_S = 0.05
# Events of the streams, by their path. Lengths within those of the sheets:
# 36 events in the mean and 119 at most.
USUAL, LONG, DIGEST = 30, 84, 135


async def work(server, request, reader, writer):
    events = int(request.target.rsplit("/", 1)[1])
    await f.stream_answer(server, request, reader, writer, events, GAP_S)


async def stream(fleet, connection, route, events):
    headers = fleet.headers(
        15000, x_bramleyarch_model="m",
        x_bramleyarch_token_count=f"960,{events * 8}",
        x_bramleyarch_length_hint=str(events * 8),
        x_bramleyarch_prompt_prefix=
        f"5c1e07a2:800,{fleet.sent + 4096:x}:160")
    id = headers["x-bramleyarch-request-id"]
    sent = fleet.record.now()
    fleet.record(f"sent id={id} route={route} events={events}")
    answer = await connection.call("POST", f"/{route}/{events}", headers,
                                   b"x" * 800)
    got = answer.body.count(b"\n\n")
    fleet.record(f"answered id={id} {answer.text()} events={got} of {events} "
                 f"after={fleet.record.now() - sent:.3f}s")
    return answer


async def case(fleet):
    routes = [f.route("chat", "streaming", "llm", 10000, aim_ms=1000,
                      StreamResume=False, SessionAffinity=True, GapAimMs=600),
              f.route("digest", "streaming", "llm", 15000, aim_ms=1000,
                      StreamResume=False, SessionAffinity=True, GapAimMs=600)]
    await fleet.store.put("op/config", f.config(
        7, routes, [f.service("llm", engine=True)]))
    for i in range(3):
        await fleet.add_backend(f"i-{i}", "llm", work=work)
    router = await fleet.add_router("front-1", grace_s=GRACE_S)

    kept = f.Connection(router.port)
    others = [f.Connection(router.port) for _ in range(4)]
    # The usual traffic: streams of 1.5 s for some seconds.
    for _ in range(4):
        answers = await asyncio.gather(
            *(stream(fleet, c, "chat", USUAL) for c in others + [kept]))
        if not all(a.whole and a.status == 200 for a in answers):
            raise f.CouldNotRun("the usual traffic is not answered")
    # A long stream is in flight as the stop begins.
    digest = fleet.spawn(
        stream(fleet, f.Connection(router.port), "digest", DIGEST))
    await asyncio.sleep(0.5)
    if f.TROUBLE:
        router.signal(signal.SIGTERM)
    stop = fleet.record.now()
    ended = fleet.spawn(router.ended())
    kill = asyncio.get_running_loop().call_later(
        GRACE_S, lambda: router.process.poll() is None and f.TROUBLE
        and router.signal(signal.SIGKILL))
    # 3.4 s later a client uses the connection that it kept.
    await asyncio.sleep(3.4)
    if kept.writer is None:
        raise f.CouldNotRun("the kept connection is closed")
    answer = await stream(fleet, kept, "chat", LONG)
    first = await digest
    fleet.record(f"stream ended {fleet.record.now() - stop:.3f}s after the "
                 "stop began")
    kill.cancel()
    ended.cancel()
    if not first.whole and f.TROUBLE:
        fleet.record("the long stream from before the stop was cut as well")
    ran = [s.id for s in fleet.backends for t, _ in s.runs if t > stop + 3]
    fleet.record(f"passed on to servers after the stop: {ran}")
    if ran and not answer.whole:
        fleet.record.say("LOST: a request that was sent 3.4 s after the "
                         "SIGTERM was read and passed on to a server, and its "
                         "connection ended without a complete answer")
        return f.BROKEN
    return f.HELD


f.main(HERE, case)
