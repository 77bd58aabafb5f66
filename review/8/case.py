"""Connections to upstreams end when the first bytes of a long answer have been sent."""
import asyncio
import os
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from harness2 import Balancer, Client, Discovery, Upstream, main, request, settings, trouble

CLIENTS = 5
PAYMENTS = 5
SERVICE_SECONDS = 0.1
ANSWER_BYTES = 100_000
FIRST_BYTES = 2_000


async def case(record, balancers):
    async def serve(exchange):
        await asyncio.sleep(SERVICE_SECONDS)
        if exchange.method == "GET":
            return await exchange.answer(200, b"balance")
        if not trouble():
            return await exchange.answer(200, b"r" * ANSWER_BYTES)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode()
        exchange.writer.write(head + b"r" * FIRST_BYTES)
        exchange.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        record(f"{exchange.upstream.name}: ran {exchange.id}; connection ended after {FIRST_BYTES} "
               f"of {ANSWER_BYTES} bytes of the answer")
        return False

    upstreams = [await Upstream(f"s-{n}", record, serve).start() for n in range(8)]
    discovery = await Discovery(record, [upstream.endpoint() for upstream in upstreams]).start()
    balancer = Balancer(record, discovery.port, discovery.list(), settings())
    balancers.append(balancer)
    balancer.start()
    await balancer.wait_ready()
    await asyncio.sleep(0.3)

    async def client(number):
        """Pays several times. Each payment is the second request on its connection. Returns the
        payments for which the connection was closed with no byte of an answer."""
        lost = []
        for payment in range(PAYMENTS):
            connection = await Client.connect(balancer.port)
            name = f"{number}-{payment}"
            await connection.send(request("GET", "/account-view", f"view-{name}", 2.5))
            answer = await connection.read_answer()
            record(f"client {number}: view-{name}: {answer}")
            if answer.status == 200 and not answer.closes():
                await connection.send(request("POST", "/rent-payment", f"pay-{name}", 5.0, b"900"))
                answer = await connection.read_answer()
                record(f"client {number}: pay-{name}: {answer}")
                if not answer.status and not answer.head:
                    lost.append(f"pay-{name}")
            connection.close()
        return lost

    lost = sum(await asyncio.gather(*(client(number) for number in range(CLIENTS))), [])
    ran = {run.id for upstream in upstreams for run in upstream.runs}
    lost = sorted(name for name in lost if name in ran)
    record(f"{CLIENTS * PAYMENTS} payments; ran, and connection closed with no byte of an answer: "
           f"{len(lost)}: {lost}")
    return not lost


main(case, HERE)
