"""Spoilt answers: after some answers a second copy comes some milliseconds late."""
import asyncio
import collections
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from harness2 import Balancer, Client, Discovery, Upstream, main, request, settings, trouble

SERVICE_SECONDS = 0.06
SECOND_ANSWER_SECONDS = 0.005
TENANTS = ["riverside-homes", "cedar-court", "hillcrest-row", "bayview-flats"]
REQUESTS_PER_CLIENT = 30
# One in ten answers has a second copy.
SPOILT = 10


async def case(record, balancers):
    second_answers, answered = [], collections.Counter()

    def answer_again(exchange, body):
        async def later():
            await asyncio.sleep(SECOND_ANSWER_SECONDS)
            try:
                await exchange.answer(200, body)
                second_answers.append(exchange.id)
                record(f"{exchange.upstream.name}: second answer to {exchange.id}")
            except OSError:
                pass

        asyncio.ensure_future(later())

    async def serve(exchange):
        answered[exchange.upstream] += 1
        body = f"answer to {exchange.id}".encode()
        await asyncio.sleep(SERVICE_SECONDS)
        await exchange.answer(200, body)
        if trouble() and answered[exchange.upstream] % SPOILT == 0:
            answer_again(exchange, body)
        return True

    upstreams = [await Upstream(f"s-{n}", record, serve).start() for n in range(2)]
    discovery = await Discovery(record, [upstream.endpoint() for upstream in upstreams]).start()
    balancer = Balancer(record, discovery.port, discovery.list(), settings())
    balancers.append(balancer)
    balancer.start()
    await balancer.wait_ready()
    await asyncio.sleep(0.3)

    async def client(tenant, method, path, timeout):
        """Sends one request after another on a connection that it keeps."""
        wrong, connection = 0, None
        for number in range(REQUESTS_PER_CLIENT):
            if connection is None:
                connection = await Client.connect(balancer.port)
            name = f"{path[1:3]}-{tenant[:2]}-{number}"
            await connection.send(request(method, path, name, timeout, tenant=tenant))
            answer = await connection.read_answer()
            if answer.status != 200:
                record(f"client {tenant}: {name}: {answer}")
            elif answer.body != f"answer to {name}".encode():
                wrong += 1
                record(f"client {tenant}: {name}: WRONG ANSWER {answer}")
            if not answer.status or answer.closes():
                connection.close()
                connection = None
        connection.close()
        return wrong

    wrong = 0
    for method, path, timeout in [("GET", "/account-view", 2.5), ("POST", "/rent-payment", 5.0)]:
        record(f"{method} {path}")
        wrong += sum(await asyncio.gather(*(client(tenant, method, path, timeout)
                                            for tenant in TENANTS)))
    record(f"{len(second_answers)} second answers; {wrong} requests got the answer of another one")
    return wrong == 0


main(case, HERE)
