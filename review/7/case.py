"""Many clients take long answers at 64 kB/s from a balancer with 32 MB and 1,024 descriptors."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from harness2 import Balancer, Discovery, Upstream, main, request, settings, trouble

MEMORY_MB = 32
DESCRIPTORS = 1024
# Clients hold at most a third of the descriptors for their requests.
CLIENTS = DESCRIPTORS // 3
CLIENT_INTERVAL_SECONDS = 0.012
LONG_ANSWER_BYTES = 16 << 20
SHORT_ANSWER_BYTES = 16 << 10
PIECE_BYTES = 16 << 10
BYTES_PER_SECOND = 64_000
READ_INTERVAL_SECONDS = 0.2
HOLD_SECONDS = 12


def memory(process):
    """Returns the resident memory of a process and the anonymous part of it, in kB."""
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        fields = dict(line.split(":", 1) for line in file if ":" in line)
    return int(fields["VmRSS"].split()[0]), int(fields["RssAnon"].split()[0])


async def case(record, balancers):
    length = LONG_ANSWER_BYTES if trouble() else SHORT_ANSWER_BYTES

    async def serve(exchange):
        exchange.writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        for _ in range(0, length, PIECE_BYTES):
            exchange.writer.write(b"a" * PIECE_BYTES)
            await exchange.writer.drain()
        return True

    upstreams = [await Upstream(f"s-{n}", record, serve).start() for n in range(14)]
    discovery = await Discovery(record, [upstream.endpoint() for upstream in upstreams]).start()
    balancer = Balancer(record, discovery.port, discovery.list(), settings(),
                        memory_mb=MEMORY_MB, sockets=DESCRIPTORS)
    balancers.append(balancer)
    balancer.start()
    await balancer.wait_ready()
    await asyncio.sleep(0.3)
    served = [0]

    async def client(number):
        """Asks for an answer and reads it at 64 kB/s."""
        await asyncio.sleep(number * CLIENT_INTERVAL_SECONDS)
        reader, writer = await asyncio.open_connection("127.0.0.1", balancer.port, limit=1 << 14)
        writer.write(request("GET", "/account-view", f"view-{number}", 2.5))
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        served[0] += status == 200
        if status != 200:
            record(f"client: view-{number}: {status}")
        while await reader.read(int(BYTES_PER_SECOND * READ_INTERVAL_SECONDS)):
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    limit, peak_resident, peak_anonymous = MEMORY_MB * 1024, 0, 0
    for _ in range(int((CLIENTS * CLIENT_INTERVAL_SECONDS + HOLD_SECONDS) / 0.5)):
        await asyncio.sleep(0.5)
        resident, anonymous = memory(balancer.process)
        record(f"{served[0]} answers begun; resident {resident} kB, of it anonymous {anonymous} kB")
        peak_resident = max(peak_resident, resident)
        peak_anonymous = max(peak_anonymous, anonymous)
    for waiting in clients:
        waiting.cancel()
    record(f"peak: resident {peak_resident} kB, anonymous {peak_anonymous} kB; limit {limit} kB")
    return peak_anonymous <= limit


main(case, HERE)
