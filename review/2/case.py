"""Case 2: after a new configuration, discovery answers slowly, and an order server begins to drain."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import *  # noqa: E402, F403

# How long the new discovery takes for each answer once it has something to tell.
SLOW_S = float(os.environ.get("SLOW_S", "1.8"))
SERVERS = 4
CLIENTS = 6
WORK_S = 0.1
SIGNAL_AT_S = 2.0
# The drain begins this long after the signal. The old discovery closes its open connections 1.5 s after the signal.
DRAIN_AFTER_SIGNAL_S = 0.3
OLD_CLOSES_AFTER_S = 1.5
# What discovery has to report counts as reported 4 s after the signal, and as told 6 s after discovery had it. The
# later of the two is used.
TOLD_AFTER_SIGNAL_S, TOLD_AFTER_CHANGE_S = 4.0, 6.0
# `rules.stopSendingWithinMs`, and the 50 ms by which each time limit is longer on sockets.
GRACE_S = 0.250 + 0.050
# When the platform ends the drained process: long after its last permitted request has been served.
END_AFTER_DRAIN_S = 10.0
DAY_S = 17.0


class OrderServer:
    """Serves each request after a fixed time, also while it drains, until its process ends."""

    def __init__(self, record, name):
        self.record, self.name, self.sends, self.open = record, name, [], set()

    async def handle(self, message, writer):
        request_id = message.header("x-request-id")
        if message.target.startswith("/status/load"):
            writer.write(response(f"TEXT inflight={len(self.open)}, latency_ms={WORK_S * 1e3:.0f}"))
            return
        if not request_id:
            writer.write(response("", "404 Not Found"))
            return
        self.record.write(f"{self.name}: runs {request_id}")
        self.sends.append((self.record.now(), request_id))
        self.open.add(request_id)
        await asyncio.sleep(WORK_S)
        self.open.discard(request_id)
        writer.write(response(f"dispensed for {request_id}"))


async def client(record, number, agent, answers):
    connection, count = await Connection().open(agent.port), 0
    while record.now() < DAY_S:
        request_id = f"c{number}-{count}"
        count += 1
        answer = await connection.exchange(request("dispense-release", request_id, 2000, "POST", body=b"x" * 40))
        answers[request_id] = None if answer is None else answer.status
        record.write(f"client {number}: {request_id}: {answers[request_id]}")
        if answer is None or answer.header("connection") == "close":
            connection.close()
            connection = await Connection().open(agent.port)
        await asyncio.sleep(0.1)
    connection.close()


async def case(record, scratch, agents, trouble):
    orders = [OrderServer(record, f"s-{number}") for number in range(1, SERVERS + 1)]
    servers = [await HttpServer(order.handle).start() for order in orders]
    entries = [entry(order.name, server.port) for order, server in zip(orders, servers)]
    old = await Discovery(record, "old discovery", entries).start()
    new = await Discovery(record, "new discovery", entries, delay_s=SLOW_S if trouble else 0.0).start()
    known = {"seq": 1, "whole": True, "hosts": entries}
    agent = Agent(record, scratch, "n0", old.port, known, settings([REFILL, RELEASE]))
    agents.append(agent)
    await agent.start()
    answers = {}
    clients = asyncio.gather(*(client(record, number, agent, answers) for number in range(CLIENTS)))

    await asyncio.sleep(SIGNAL_AT_S - record.now())
    agent.config["discovery"] = f"127.0.0.1:{new.port}"
    agent.write_config()
    agent.signal(signal.SIGHUP)
    signal_at = record.now()
    old.server.close()
    await asyncio.sleep(DRAIN_AFTER_SIGNAL_S)
    new.publish({**entries[0], "health": "draining"})
    drain_at = record.now()
    await asyncio.sleep(OLD_CLOSES_AFTER_S - DRAIN_AFTER_SIGNAL_S)
    old.die()

    told_at = max(signal_at + TOLD_AFTER_SIGNAL_S, drain_at + TOLD_AFTER_CHANGE_S)
    await asyncio.sleep(drain_at + END_AFTER_DRAIN_S - record.now())
    cut_off = sorted(orders[0].open)
    record.write(f"platform: ends s-1, which has been draining for {END_AFTER_DRAIN_S} s")
    servers[0].die()
    new.publish({**entries[0], "health": "removed"})
    await clients

    late = [(at, request_id) for at, request_id in orders[0].sends if at > told_at + GRACE_S]
    record.write(f"s-1 drains from {drain_at:.3f}; counts as told at {told_at:.3f}; last permitted send {told_at + GRACE_S:.3f}")
    for at, request_id in late:
        record.write(f"BROKEN: {request_id} was sent to s-1 at {at:.3f}, {at - told_at:.3f} s after the agent counts as told")
    for request_id in cut_off:
        record.write(f"for information: {request_id} ran on s-1 when its process ended; its client got {answers.get(request_id)}")
    record.write(f"{len(answers)} requests, {len(late)} sent to the draining server too late")
    return not late


run_case(FOLDER, case)
