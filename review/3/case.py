"""Case 3: some order servers' answers have no length; they end with the orderly end of their connection."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import *  # noqa: E402, F403

# One answer in this many has no length.
NO_LENGTH_EVERY = 4
# The share of the whole answers with no length that has to be forwarded.
MIN_FORWARDED = 0.5
WORK_S = 0.05
CLIENTS = 4
REQUESTS_PER_CLIENT = 50


class OrderServer:
    """Answers each request with 200. Some answers have neither `Content-Length` nor `Transfer-Encoding`."""

    def __init__(self, record, name, trouble, no_length):
        self.record, self.name, self.trouble, self.no_length, self.count = record, name, trouble, no_length, 0

    async def handle(self, message, writer):
        request_id = message.header("x-request-id")
        if message.target.startswith("/status/load"):
            writer.write(response("TEXT inflight=1, latency_ms=50"))
            return True
        if not request_id:
            writer.write(response("", "404 Not Found"))
            return True
        self.record.write(f"{self.name}: runs {request_id}")
        await asyncio.sleep(WORK_S)
        body = f"dispensed for {request_id}".encode()
        self.count += 1
        if not self.trouble or self.count % NO_LENGTH_EVERY != 0:
            writer.write(response(body))
            return True
        # All bytes are written, then the connection is shut down in good order: the answer has come whole.
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        writer.write_eof()
        self.no_length.append(request_id)
        self.record.write(f"{self.name}: answered {request_id} whole and with no length")
        await asyncio.sleep(0.5)  # The agent has read all of it long before the socket is closed.
        return False


async def client(record, number, agent, answers):
    connection = await Connection().open(agent.port)
    for count in range(REQUESTS_PER_CLIENT):
        request_id = f"c{number}-{count}"
        answer = await connection.exchange(request("dispense-release", request_id, 2000, "POST", body=b"x" * 40))
        answers[request_id] = answer
        text = "no answer" if answer is None else f"{answer.status} {answer.body.decode().strip()!r}"
        record.write(f"client {number}: {request_id}: {text}")
        if answer is None or answer.header("connection") == "close":
            connection.close()
            connection = await Connection().open(agent.port)
    connection.close()


async def case(record, scratch, agents, trouble):
    no_length, answers = [], {}
    servers = [await HttpServer(OrderServer(record, f"s-{number}", trouble, no_length).handle).start()
               for number in range(1, 5)]
    entries = [entry(f"s-{number}", server.port) for number, server in enumerate(servers, 1)]
    discovery = await Discovery(record, "discovery", entries).start()
    known = {"seq": 1, "whole": True, "hosts": entries}
    agent = Agent(record, scratch, "n0", discovery.port, known, settings([REFILL, RELEASE]))
    agents.append(agent)
    await agent.start()
    await asyncio.gather(*(client(record, number, agent, answers) for number in range(CLIENTS)))

    def is_forwarded(request_id):
        answer = answers.get(request_id)
        return answer is not None and answer.status == 200 and answer.body == f"dispensed for {request_id}".encode()

    forwarded = sum(map(is_forwarded, no_length))
    served = sum(map(is_forwarded, answers))
    record.write(f"{len(answers)} requests, {served} served with their own answer")
    statuses = sorted({"none" if answers[one] is None else str(answers[one].status) for one in no_length})
    record.write(f"for information: the clients of the answers with no length got {', '.join(statuses) or 'none'}")
    record.write(f"{len(no_length)} answers with no length came whole, {forwarded} of them were forwarded")
    return forwarded >= MIN_FORWARDED * len(no_length)


run_case(FOLDER, case)
