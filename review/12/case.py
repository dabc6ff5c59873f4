"""An old beat of an upstream that drains is executed late."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
sys.dont_write_bytecode = True

import world as w  # noqa: E402


async def play(world: w.World, trouble: bool) -> bool:
    """Return whether requests reached the upstream after ``drain_ms``."""
    world.add_vm('front-hobart-a-1', 'hobart-a')
    world.add_vm('front-hobart-b-1', 'hobart-b')
    leaving = world.add_upstream(
        'i-leaving', 'bookings', 'hobart-a', work_s=0.2
    )
    world.add_upstream('i-staying', 'bookings', 'hobart-b', work_s=0.2)
    await world.start(w.configuration())
    store = world.store
    replies: list[w.Reply] = []

    async def order(client: w.Client) -> None:
        while True:
            replies.append(await client.send('POST', '/order/1', b'one'))
            await asyncio.sleep(0.02)

    clients = [
        asyncio.ensure_future(order(w.Client(world, zone)))
        for zone in ('hobart-a', 'hobart-b') * 5
    ]
    await asyncio.sleep(2.0)
    # The store's answers of writes are lost for 0.2 s: one beat gets none,
    # and the store executes it 5.4 s later.
    begun = w.now()
    late = leaving.entry()
    world.record.write('beat_without_answer', **late['status'])
    if not trouble:
        store.put_doc('servers/i-leaving', late)
    await asyncio.sleep(0.2)
    # ``stability_window_ms`` later the store is stable.  The upstream drains.
    await asyncio.sleep(begun + 3.7 - w.now())
    leaving.state = 'draining'
    if leaving.beats is not None:
        leaving.beats.cancel()
    leaving.beats = asyncio.ensure_future(leaving.beat_on())
    await asyncio.sleep(0)
    acknowledged = w.now()
    world.record.write('draining_acknowledged')
    await asyncio.sleep(begun + 5.4 - w.now())
    if trouble:
        store.put_doc('servers/i-leaving', late)
        world.record.write('late_write_executed', **late['status'])
    # It serves for ``drain_ms`` and a little longer, then exits.
    await asyncio.sleep(acknowledged + 3.1 - w.now())
    await leaving.stop()
    await asyncio.sleep(2.0)
    for client in clients:
        client.cancel()
    bound = acknowledged + world.bounds['drain_ms'] / 1000
    too_late = [
        request_id for at, request_id in leaving.arrivals if at > bound
    ]
    served = sum(reply.status == 200 for reply in replies)
    lost = [
        reply.request_id
        for reply in replies
        if reply.status in (0, 502, 504)
    ]
    world.record.write(
        'summary',
        answered_200=served,
        too_late=len(too_late),
        lost=len(lost),
        lost_of_too_late=len(set(lost) & set(too_late)),
    )
    print(
        f'{served} served; {len(too_late)} arrived too late, '
        f'{len(set(lost) & set(too_late))} of them without an answer'
    )
    if served < 50:
        raise w.CannotRunError('too few requests were served')
    return bool(too_late)


w.main(FOLDER, play)
