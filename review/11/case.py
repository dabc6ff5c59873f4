"""A client sends its next request before the answer to the last one."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
sys.dont_write_bytecode = True

import world as w  # noqa: E402

WORK_S = 0.04
SLOW_FACTOR = 5
INTERVAL_S = 0.1

# What a client sent, by request id.
Sent = dict[str, tuple[str, str, bytes]]


class CheckedUpstream(w.Upstream):
    """An upstream that keeps what it was asked to run."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.asked: list[tuple[str, str, str, bytes]] = []

    async def run(
        self,
        method: str,
        target: str,
        request: w.Message,
        own: w.Headers,
        until: float,
    ) -> bytes:
        """Run a request in a slot."""
        self.asked.append((own['X-Request-Id'], method, target, request.body))
        self.note(
            'asked',
            own['X-Request-Id'],
            method=method,
            target=target,
            body=request.body.decode('latin-1'),
        )
        return await super().run(method, target, request, own, until)


async def read_answers(
    world: w.World, reader: asyncio.StreamReader, statuses: dict[str, int]
) -> None:
    """Read the answers of a connection."""
    try:
        while True:
            got = await w.read_message(reader)
            request_id = got.headers.get('x-request-id', '')
            statuses[request_id] = int(got.first.split(' ')[1])
            world.record.write(
                'answered', id=request_id, status=statuses[request_id]
            )
    except (EOFError, ConnectionError):
        pass


async def put_on(
    world: w.World,
    zone: str,
    sent: Sent,
    statuses: dict[str, int],
    until: float,
) -> None:
    """Send a PUT at fixed intervals, whether or not the last is answered."""
    client = w.Client(world, zone)
    answers: asyncio.Task[None] | None = None
    number = 0
    while w.now() < until:
        await client.look_up()
        if answers is None or answers.done() or client.writer is None:
            client.close()
            await client.connect()
            assert client.reader is not None
            answers = asyncio.ensure_future(
                read_answers(world, client.reader, statuses)
            )
        number += 1
        request_id = world.new_id()
        target, body = f'/look/{zone}/{number}', f'value {number}'.encode()
        sent[request_id] = ('PUT', target, body)
        world.record.write(
            'sent', id=request_id, target=target, body=body.decode()
        )
        assert client.writer is not None
        client.writer.write(
            w.request_bytes(
                'PUT',
                target,
                {
                    'Host': 'shop.example',
                    'X-Request-Id': request_id,
                    'X-Deadline-Ms': '4000',
                    'Authorization': 'Bearer key-one',
                },
                body,
            )
        )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(2.0)


async def play(world: w.World, trouble: bool) -> bool:
    """Return whether upstreams ran requests with other bodies than sent."""
    world.add_vm('front-hobart-a-1', 'hobart-a')
    world.add_vm('front-hobart-b-1', 'hobart-b')
    upstreams = [
        CheckedUpstream(
            world.record,
            world.store,
            f'i-{number}',
            'bookings',
            'hobart-a' if number % 2 else 'hobart-b',
            work_s=WORK_S,
        )
        for number in range(7)
    ]
    world.upstreams += upstreams
    await world.start(w.configuration())
    sent: Sent = {}
    statuses: dict[str, int] = {}
    begun = w.now()
    clients = [
        asyncio.ensure_future(
            put_on(world, zone, sent, statuses, begun + 12.0)
        )
        for zone in ('hobart-a', 'hobart-b') * 2
    ]
    await asyncio.sleep(3.0)
    if trouble:
        # One of seven upstreams turns slow for 6.5 s.
        slow = max(upstreams, key=lambda upstream: len(upstream.asked))
        world.record.write('turns_slow', upstream=slow.name)
        slow.work_s = SLOW_FACTOR * WORK_S
        await asyncio.sleep(6.5)
        slow.work_s = WORK_S
        world.record.write('is_as_before', upstream=slow.name)
    await asyncio.gather(*clients)
    asked = [row for upstream in upstreams for row in upstream.asked]
    changed = [row for row in asked if sent.get(row[0]) != row[1:]]
    succeeded = sum(statuses.get(row[0]) == 200 for row in changed)
    world.record.write(
        'summary', asked=len(asked), changed=len(changed), of_200=succeeded
    )
    print(
        f'{len(asked)} runs, {len(changed)} of them not as sent; '
        f'clients got 200 for {succeeded} of these'
    )
    for row in changed[:3]:
        print(f'sent {sent.get(row[0])}, run {row[1:]}')
    if sum(status == 200 for status in statuses.values()) < 100:
        raise w.CannotRunError('too few requests were served')
    return bool(changed)


w.main(FOLDER, play)
