"""Case 10: after a new configuration, an indented list of the largest fleet is never read, and drains go unheard."""

import asyncio
import json
import os
import resource
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (  # noqa: E402
    DISPENSE, HOST, REFILL, Agent, CannotRun, ClientConnection, Discovery, OrderServer, answer_bytes, request_bytes,
    run_case, settings)

# "Fleets with up to sixteen times the order servers (3,200 at most) and up to 900 agents."
SERVERS = 3200
AGENTS = 900
# "A quarter of the order servers begin to drain, and stay up to the day's end."
DRAINING = 800
# "Lists may come indented."
INDENT = 8
SIGHUP_AT_S = 1.5
DRAIN_AT_S = 4.0
# The latest of the times at which the pages count a change as told: 6 s after discovery had it.
TOLD_AFTER_S = 6.0
# `rules.stopSendingWithinMs`, and 50 ms for sockets.
GRACE_S = 0.3
# The drained processes end this long after their drain began, when nothing has been allowed there for 1 s and more.
ENDS_AFTER_S = 7.5
LENGTH_S = 14.0
CLIENTS = 12
WORK_S = 0.15
OLD_CLOSES_AFTER_S = 1.5


class IndentedDiscovery(Discovery):
    """Discovery whose lists are indented."""

    async def start(self):
        self.writers = set()
        return await super().start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await super().serve(reader, writer)

    def text(self, answer):
        return json.dumps(answer, indent=INDENT)

    async def close(self):
        """Accepts no new connection, and closes the open ones after 1.5 s (TERMS page, "Reconfiguration")."""
        self.server.close()
        await asyncio.sleep(OLD_CLOSES_AFTER_S)
        for writer in list(self.writers):
            writer.close()


async def case(folder, record, trouble):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = SERVERS + 1000
    if soft < needed:
        if hard != resource.RLIM_INFINITY and hard < needed:
            raise CannotRun("too few descriptors for 3,200 order servers")
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
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

    servers = [await OrderServer(f"s-{number:08x}", handle, record).start() for number in range(SERVERS)]
    hosts = [server.entry(site="dc-machakos") for server in servers]
    old = await IndentedDiscovery(record, 1, hosts).start()
    new = await IndentedDiscovery(record, 1, hosts).start()
    record.line(f"the whole list has {len(new.text(new.whole()))} bytes")
    fleet = settings([REFILL, DISPENSE], balancers=AGENTS, zones=("dc-nairobi", "dc-thika", "dc-machakos"), zone=2)
    agent = Agent(folder, old.port, old.whole(), fleet)
    tasks = []
    try:
        agent.start()
        await agent.wait_ready()
        begin = record.now()
        if trouble:
            record.line("the agent is ready; discovery moves")

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
                await asyncio.sleep(0.02)
            connection.close()

        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(SIGHUP_AT_S)
        if trouble:
            agent.config["discovery"] = f"{HOST}:{new.port}"
            agent.write_config()
            agent.send(signal.SIGHUP)
            record.line("SIGHUP")
            tasks.append(asyncio.create_task(old.close()))
        await asyncio.sleep(DRAIN_AT_S - SIGHUP_AT_S)
        draining = servers[:DRAINING]
        for server in draining:
            drained_at[server.name] = record.now() + TOLD_AFTER_S
        await (new if trouble else old).change(*(server.entry("draining", site="dc-machakos") for server in draining))
        tasks.append(asyncio.create_task(end_drained(draining)))
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        agent.stop()
    record.line(f"{len(lost)} orders were running on a drained order server when it ended: {', '.join(lost)}")
    return breaks


run_case(__file__, case)
