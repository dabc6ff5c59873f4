"""Upstreams break off a few long answers; clients send requests behind."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
sys.dont_write_bytecode = True

import world as w  # noqa: E402

LONG_PREFIX = '/look/long/'
LONG_BYTES = 3_000_000
LONG_WORK_S = 0.1
SHORT_WORK_S = 0.3

CLIENTS = 14
UPSTREAMS = 20
# ``garble``: this share of the upstreams break off this share of their
# answers, for this time.
FAULTY = 10
FAULTY_SHARE = 0.03
FAULTY_FOR_S = 5.0


class Upstream(w.Upstream):
    """An upstream that may break off some of its long answers.

    The counts are those of all faulty upstreams.
    """

    answers_while_faulty = 0
    cut = 0
    is_faulty = False

    async def run(
        self,
        method: str,
        target: str,
        request: w.Message,
        own: w.Headers,
        until: float,
    ) -> bytes:
        """Run a request in a slot."""
        is_long = target.startswith(LONG_PREFIX)
        self.work_s = LONG_WORK_S if is_long else SHORT_WORK_S
        reply = await super().run(method, target, request, own, until)
        if not is_long:
            return reply
        return w.answer(200, own, b'x' * LONG_BYTES)

    def sent_size(self, request: w.Message, reply: bytes) -> int:
        """Return how many bytes of an answer are sent; the rest is cut."""
        if not self.is_faulty:
            return len(reply)
        Upstream.answers_while_faulty += 1
        if (
            len(reply) < LONG_BYTES
            or Upstream.cut + 1 > Upstream.answers_while_faulty * FAULTY_SHARE
        ):
            return len(reply)
        Upstream.cut += 1
        self.note('cuts_answer', request.headers['x-request-id'])
        return LONG_BYTES * 2 // 3


async def send_four(
    world: w.World, client: w.Client, statuses: dict[str, int]
) -> None:
    """Send four requests in one go, and read the answers."""
    await client.look_up()
    await client.connect()
    assert client.reader is not None and client.writer is not None
    ids = [world.new_id() for _ in range(4)]
    data = b''
    for number, request_id in enumerate(ids):
        target = f'{"/look/short/" if number else LONG_PREFIX}{request_id}'
        statuses[request_id] = 0
        world.record.write('sent', id=request_id, target=target)
        data += w.request_bytes(
            'GET',
            target,
            {
                'Host': 'shop.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '6000',
                'Authorization': 'Bearer key-one',
            },
            b'',
        )
    client.writer.write(data)
    try:
        for request_id in ids:
            got = await asyncio.wait_for(w.read_message(client.reader), 7.0)
            statuses[request_id] = int(got.first.split(' ')[1])
            world.record.write(
                'answered', id=request_id, status=statuses[request_id]
            )
    except (OSError, EOFError) as error:
        world.record.write('connection_ends', error=type(error).__name__)
        client.close()


async def play(world: w.World, trouble: bool) -> bool:
    """Return whether more than three passed-on requests got no answer."""
    world.add_vm('front-hobart-a-1', 'hobart-a')
    world.add_vm('front-hobart-b-1', 'hobart-b')
    upstreams = [
        Upstream(
            world.record,
            world.store,
            f'i-{number}',
            'bookings',
            'hobart-a' if number % 2 else 'hobart-b',
            slots=3,
        )
        for number in range(UPSTREAMS)
    ]
    world.upstreams += upstreams
    await world.start(w.configuration())
    statuses: dict[str, int] = {}

    async def go_on(client: w.Client, until: float) -> None:
        while w.now() < until:
            await send_four(world, client, statuses)
            await asyncio.sleep(0.05)

    begun = w.now()
    clients = [
        asyncio.ensure_future(go_on(w.Client(world, zone), begun + 11.0))
        for zone in ('hobart-a', 'hobart-b') * (CLIENTS // 2)
    ]
    await asyncio.sleep(3.0)
    for upstream in upstreams[:FAULTY]:
        upstream.is_faulty = trouble
    await asyncio.sleep(FAULTY_FOR_S)
    for upstream in upstreams[:FAULTY]:
        upstream.is_faulty = False
    await asyncio.gather(*clients)
    lost = [
        request_id
        for upstream in upstreams[FAULTY:]
        for request_id in upstream.runs
        if statuses[request_id] == 0
    ]
    cut, answered = Upstream.cut, Upstream.answers_while_faulty
    served = sum(status == 200 for status in statuses.values())
    world.record.write(
        'summary', served=served, cut=cut, of=answered, lost=len(lost)
    )
    print(
        f'{served} served; faulty upstreams broke off {cut} of {answered} '
        f'answers; {len(lost)} requests at sound ones got no answer'
    )
    if served < 200:
        raise w.CannotRunError('too few requests were served')
    return len(lost) > 3


w.main(FOLDER, play)
