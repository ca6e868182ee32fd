"""Case 9: new configurations in quick succession, with a slow discovery, keep a drain from being heard."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (  # noqa: E402
    DISPENSE, HOST, REFILL, Agent, ClientConnection, Discovery, OrderServer, answer_bytes, request_bytes, run_case,
    settings)

SERVERS = 10
CLIENTS = 12
WORK_S = 0.15
# The disruption: each answer of discovery takes this long, and new configurations come this far apart.
ANSWER_S = 1.8
APART_S = 1.5
CONFIGURATIONS = 6
FIRST_AT_S = 1.5
# The drain begins this long after the first signal.
DRAIN_AFTER_S = 0.5
# The latest of the times at which the pages count a change as told: 6 s after discovery had it.
TOLD_AFTER_S = 6.0
# `rules.stopSendingWithinMs`, and 50 ms for sockets.
GRACE_S = 0.3
# The drained processes end this long after their drain began, when nothing has been allowed there for 1 s and more.
ENDS_AFTER_S = 7.5
OLD_CLOSES_AFTER_S = 1.5
LENGTH_S = 15.0


class SlowDiscovery(Discovery):
    """Discovery at an address of its own, which needs a while for each answer."""

    def __init__(self, record, shared, answer_s):
        super().__init__(record)
        # All addresses are of one discovery: they share the list and its versions.
        self.shared = shared
        self.answer_s = answer_s
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await super().serve(reader, writer)

    async def answer(self, request):
        self.record.line(f"discovery at {self.port} is asked {request.target}")
        answer = await self.shared.answer(request)
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
            # What it answers is what it has then.
            answer = await self.shared.answer(request)
        self.record.line(f"discovery at {self.port} answers version {answer['seq']}")
        return answer

    async def retire(self):
        """Accepts no new connection, and closes the open ones after 1.5 s (TERMS page, "Reconfiguration")."""
        self.server.close()
        await asyncio.sleep(OLD_CLOSES_AFTER_S)
        for writer in list(self.writers):
            writer.close()


async def case(folder, record, trouble):
    drained_at = {}
    ended = set()
    lost = []
    breaks = []

    async def handle(server, request, writer):
        request_id = request.header("x-request-id")
        now = record.now()
        told_at = drained_at.get(server.name)
        if told_at is not None and now > told_at + GRACE_S:
            breaks.append(f"{request_id} went to {server.name} {now - told_at:.3f} s after its drain counted as told")
        record.line(f"{server.name} ran {request_id}{' (draining)' if told_at is not None else ''}")
        await asyncio.sleep(WORK_S)
        if server.name in ended:
            lost.append(request_id)
            record.line(f"{server.name} has ended while {request_id} ran")
            return False
        writer.write(answer_bytes(f"receipt for {request_id}"))
        return True

    async def end_drained(draining):
        """The drained processes end: they accept nothing, and their connections are reset."""
        await asyncio.sleep(ENDS_AFTER_S)
        for server in draining:
            ended.add(server.name)
            server.server.close()
            for writer in list(server.writers):
                writer.transport.abort()
        record.line("the drained order servers end")

    servers = [await OrderServer(f"s-{number}", handle, record).start() for number in range(SERVERS)]
    shared = Discovery(record, 1, [server.entry() for server in servers])
    count = 1 + (CONFIGURATIONS if trouble else 0)
    addresses = [await SlowDiscovery(record, shared, ANSWER_S if trouble else 0).start() for _ in range(count)]
    agent = Agent(folder, addresses[0].port, shared.whole(), settings([REFILL, DISPENSE]))
    tasks = []
    try:
        agent.start()
        await agent.wait_ready()
        begin = record.now()

        async def client(number):
            connection = await ClientConnection.open(agent.port)
            count = 0
            while record.now() < begin + LENGTH_S:
                count += 1
                request_id = f"client{number}-{count}"
                request = request_bytes("dispense-release", request_id, 2000, b"one pack", effect="at_most_once")
                answer = await connection.exchange(request, 3.0)
                record.line(f"{request_id}: {answer if isinstance(answer, str) else answer.status}")
                if isinstance(answer, str) or answer.header("connection") == "close":
                    connection.close()
                    connection = await ClientConnection.open(agent.port)
                await asyncio.sleep(0.05)
            connection.close()

        async def reconfigure():
            for old, new in zip(addresses, addresses[1:]):
                agent.config["discovery"] = f"{HOST}:{new.port}"
                agent.write_config()
                agent.send(signal.SIGHUP)
                record.line(f"SIGHUP: discovery moves to {new.port}")
                tasks.append(asyncio.create_task(old.retire()))
                await asyncio.sleep(APART_S)

        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(FIRST_AT_S)
        tasks.append(asyncio.create_task(reconfigure()))
        await asyncio.sleep(DRAIN_AFTER_S)
        for server in servers[:SERVERS // 4]:
            drained_at[server.name] = record.now() + TOLD_AFTER_S
        await shared.change(*(server.entry("draining") for server in servers[:SERVERS // 4]))
        tasks.append(asyncio.create_task(end_drained(servers[:SERVERS // 4])))
        while tasks:
            await asyncio.gather(*tasks)
            tasks = [task for task in tasks if not task.done()]
    finally:
        for task in tasks:
            task.cancel()
        agent.stop()
    record.line(f"{len(lost)} orders were running on a drained order server when it ended: {', '.join(lost)}")
    return breaks


run_case(__file__, case)
