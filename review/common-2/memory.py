"""Crowds of clients, and the platform's limit of a process's memory."""
import asyncio
import os
import resource
import subprocess
import sys
import time

from standins import call

MEMORY_MB = 260        # Limits.MemoryMb of the sheet
MAX_FDS = 4100         # Limits.MaxFds of the sheet
MACHINES = 2           # "on a tenth of the machines in use (two at least)"
WAVES = 3              # "three times in the day"
CROWD_PROCESSES = 4    # for each machine
RESTART_S = 0.5        # "restarted after a short delay"


def memory_mb(process):
    """Memory that the process holds, as the machine sees it."""
    try:
        with open(f"/proc/{process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def limit_descriptors(most):
    """Descriptors of this process, and of those that it starts from now on."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < most:
        raise RuntimeError(f"a process may have {hard} descriptors only")
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


async def play(fleet, record, trouble, crowd, method, path, wave_s):
    """Plays WAVES of crowds at MACHINES routers, and kills and restarts a router
    that holds more than MEMORY_MB, as the platform does. `crowd` is the program
    of a crowd with its arguments after the port. Returns whether the rule held.
    """
    routers = fleet.routers[:MACHINES]
    ends = {r.name: 0 for r in routers}
    most = {r.name: 0.0 for r in routers}
    statuses = {}
    processes = []
    going = True

    async def watch(router):
        """"A process that exceeds MemoryMb is killed." Looks every 20 ms."""
        while going:
            held = memory_mb(router.process)
            most[router.name] = max(most[router.name], held)
            if held > MEMORY_MB or router.process.poll() is not None:
                ends[router.name] += 1
                record.line(f"router {router.name} holds {held:.0f} MB and "
                            "is killed by the platform")
                router.end()
                await asyncio.sleep(RESTART_S)
                router.start()
            await asyncio.sleep(0.02)

    async def client(router):
        while going:
            answer = await call(router, method, path, b"order" if
                                method == "POST" else b"", 1500, record)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(watch(r)) for r in routers]
    tasks += [asyncio.create_task(client(r)) for r in routers
              for _ in range(4)]
    try:
        await asyncio.sleep(1)
        for wave in range(WAVES):
            due = time.monotonic() + 10
            while time.monotonic() < due and not all(
                    [await r.is_ready() for r in routers]):
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.5)
            if trouble:
                record.line(f"wave {wave + 1} of clients")
                processes += [subprocess.Popen(
                    [sys.executable, crowd[0], str(r.front)] + crowd[1:],
                    stdout=subprocess.PIPE, text=True)
                    for r in routers for _ in range(CROWD_PROCESSES)]
            await asyncio.sleep(wave_s)
    finally:
        going = False
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        await asyncio.gather(*tasks)
    text = (f"ends by memory: {ends} (bound: three times on two machines); held "
            f"at most, MB: { {n: round(m) for n, m in most.items()} } (limit "
            f"{MEMORY_MB}); answers of ordinary clients by status, 0: none: "
            f"{sorted(statuses.items())}")
    record.line(text)
    print(text)
    return not all(count >= WAVES for count in ends.values())
