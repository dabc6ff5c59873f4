"""A VM that stops passes orders on to queues that outlast its exit."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import deployment as standins  # noqa: E402

SERVERS = 3
# Slots, queue and mean work of a calibration server of huon-burr.
SLOTS = 3
QUEUE = 9
WORK_S = 1.6
# Requests of other machines at each server, all the time.
OTHERS = 10
CALLERS = 5
ORDER_AFTER_S = 2.4
DEADLINE_MS = 8000
GRACE_S = standins.BOUNDS['grace_s']
# RULES.md: a server at work in the last sixth of grace_s excuses the loss.
EXCUSED_FROM_S = GRACE_S * 5 / 6


class QueueingServer(standins.Server):
    """Runs as many requests as it has slots, queues a few, rejects the rest.

    ``starts`` has the event loop times at which it began to work, by id.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.free = asyncio.Semaphore(SLOTS)
        self.here = 0
        self.starts = {}

    async def serve(self, reader, writer):
        """Serve a connection; its end drops the request."""
        try:
            while True:
                line, headers = await standins.read_head(reader)
                await standins.read_body(reader, headers)
                fields = dict(headers)
                if fields.get('x-expect-instance') != self.server_id:
                    return
                run = asyncio.ensure_future(self.run(fields, line))
                # A sound caller sends nothing before the answer.
                closed = asyncio.ensure_future(reader.read(1))
                closed.add_done_callback(
                    lambda task: task.cancelled() or task.exception()
                )
                await asyncio.wait(
                    {run, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                if not run.done():
                    run.cancel()
                    return
                closed.cancel()
                writer.write(run.result())
                await writer.drain()
                return
        except standins.SERVING_ENDS:
            pass
        finally:
            writer.close()

    async def run(self, fields, line):
        """Run a request and return the answer, which ends the connection."""
        request_id = fields['x-request-id']
        close = b'Connection: close\r\n'
        if self.here >= SLOTS + QUEUE:
            return (
                f'HTTP/1.1 503 Full\r\nX-Request-Id: {request_id}\r\n'.encode()
                + b'X-Not-Executed: 1\r\nContent-Length: 0\r\n'
                + close
                + b'\r\n'
            )
        self.here += 1
        try:
            async with self.free:
                loop = asyncio.get_running_loop()
                self.starts[request_id] = loop.time()
                self.runs.append((request_id, line, b''))
                await asyncio.sleep(WORK_S)
        finally:
            self.here -= 1
        waiting = max(0, self.here - SLOTS)
        load = f'X-Server-Load: {self.here - waiting},{waiting},{SLOTS}\r\n'
        head, _, body = standins.answer(request_id, b'booked').partition(
            b'\r\n\r\n'
        )
        return head + b'\r\n' + load.encode() + close + b'\r\n' + body


async def send_as_another(server, name, after_s):
    """Keep one request of another machine at a server."""
    await asyncio.sleep(after_s)
    number = 0
    while True:
        number += 1
        request_id = f'{name}-{number}'
        reader, writer = await asyncio.open_connection(
            *server.address.split(':')
        )
        lines = (
            f'POST /once/{request_id} HTTP/1.1',
            f'Host: {standins.SITE_HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Expect-Instance: {server.server_id}',
            f'X-Tenant: {standins.TENANT}',
            f'X-Deadline-Ms: {DEADLINE_MS}',
            'Content-Length: 0',
        )
        writer.write('\r\n'.join([*lines, '', '']).encode())
        await standins.read_answer(reader)
        writer.close()


async def case(deployment, record, trouble):
    """Stop the VM under load; return whether its callers get answers."""
    loop = asyncio.get_running_loop()
    await deployment.start(servers=SERVERS, slots=SLOTS, work=None)
    vm = deployment.vm
    others = [
        asyncio.ensure_future(
            send_as_another(
                server,
                f'other-{server.server_id}-{number}',
                WORK_S * number / OTHERS,
            )
        )
        for server in deployment.servers
        for number in range(OTHERS)
    ]
    connections = [await vm.connect() for _ in range(CALLERS)]
    await asyncio.sleep(2 * WORK_S)
    stopped_at = loop.time()
    if trouble:
        record.write('SIGTERM')
        vm.send_signal(signal.SIGTERM)
    await asyncio.sleep(ORDER_AFTER_S)

    async def order(number):
        """Send an order; return whether it was lost."""
        request_id = f'order-{number}'
        reader, writer = connections[number]
        writer.write(
            standins.request(
                'POST', f'/once/{number}', request_id, b'a', DEADLINE_MS
            )
        )
        record.write(
            f'{request_id} sent, {loop.time() - stopped_at:.2f} s after the '
            'stop began'
        )
        try:
            status, _, _ = await standins.read_answer(reader)
        except standins.ENDS:
            status = None
        writer.close()
        ended_s = loop.time() - stopped_at
        begun = [
            server.starts[request_id] - stopped_at
            for server in deployment.servers
            if request_id in server.starts
        ]
        at_work = f'begun at {begun[0]:.2f} s' if begun else 'never begun'
        if status is not None:
            record.write(f'{request_id}: {status} at {ended_s:.2f} s')
            return False
        record.write(
            f'{request_id}: connection ends at {ended_s:.2f} s without an '
            f'answer; {at_work}'
        )
        return not begun or ended_s < EXCUSED_FROM_S

    lost = sum(await asyncio.gather(*map(order, range(CALLERS))))
    for other in others:
        other.cancel()
    record.write(f'{lost} of {CALLERS} orders were lost')
    return not lost


standins.run_case(
    FOLDER,
    case,
    standins.Deployment(timeout_ms=4000, server_type=QueueingServer),
)
