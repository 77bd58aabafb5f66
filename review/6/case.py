"""A planned restart while clients send long bodies; the settings forbid cancelling attempts."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from harness2 import Balancer, Client, Discovery, Upstream, main, request, settings, trouble

CLIENTS = 10
CLIENT_INTERVAL_SECONDS = 0.2
BODY_BYTES = 640_000
PART_BYTES = 6400
PART_INTERVAL_SECONDS = 0.1
SIGTERM_SECONDS = 4.5
# The longest deadline, taken as 3 s, and 0.7 s more.
SIGKILL_SECONDS = 3.7


async def case(record, balancers):
    async def serve(exchange):
        record(f"{exchange.upstream.name}: {exchange.id} arrived whole, with a body of "
               f"{len(exchange.body)} bytes; runs")
        await asyncio.sleep(0.2)
        return await exchange.answer(200, b"done")

    upstreams = [await Upstream(f"s-{n}", record, serve).start() for n in range(10)]
    discovery = await Discovery(record, [upstream.endpoint() for upstream in upstreams]).start()
    balancer = Balancer(record, discovery.port, discovery.list(), settings(limits__cancel=False))
    balancers.append(balancer)
    balancer.start()
    await balancer.wait_ready()
    await asyncio.sleep(0.3)

    async def client(number):
        """Sends a work order with a long body at 64 kB/s, and then waits for the answer."""
        await asyncio.sleep(number * CLIENT_INTERVAL_SECONDS)
        name, sent = f"order-{number}", 0
        connection = await Client.connect(balancer.port)

        async def read():
            answer = await connection.read_answer()
            record(f"client: {name}: {answer}")
            return answer

        reader = asyncio.ensure_future(read())
        try:
            await connection.send(request("POST", "/work-order", name, 6.0,
                                          headers="Transfer-Encoding: chunked\r\n"))
            while sent < BODY_BYTES:
                await connection.send(b"%x\r\n%s\r\n" % (PART_BYTES, b"x" * PART_BYTES))
                sent += PART_BYTES
                await asyncio.sleep(PART_INTERVAL_SECONDS)
            await connection.send(b"0\r\n\r\n")
            record(f"client: {name}: sent all {sent} bytes")
        except OSError:
            record(f"client: {name}: connection ended after {sent} of {BODY_BYTES} bytes")
        await reader
        connection.close()

    async def restart():
        await asyncio.sleep(SIGTERM_SECONDS)
        balancer.signal(signal.SIGTERM)
        await asyncio.sleep(SIGKILL_SECONDS)
        if balancer.is_running():
            balancer.signal(signal.SIGKILL)

    clients = [client(number) for number in range(CLIENTS)]
    await asyncio.gather(*clients, *([restart()] if trouble() else []))
    await asyncio.sleep(0.5)
    runs = [run for upstream in upstreams for run in upstream.runs]
    cut = [f"{run.id} ({len(run.body)} bytes)" for run in runs if len(run.body) != BODY_BYTES]
    record(f"{len(runs)} runs; of a body that no client sent: {cut}")
    return not cut


main(case, HERE)
