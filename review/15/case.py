"""One upstream crashes while it runs three equal requests of one client."""

import asyncio
import pathlib
import sys
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))
sys.dont_write_bytecode = True

import world as w  # noqa: E402

WORK_S = 0.3
# Upstreams are down for this long.
DOWN_S = 4.5
# From then on, the deployment is in steady state.
STEADY_AFTER_S = DOWN_S + 4.0
MEASURED_S = 25.0

CLIENT_DEADLINE_S = 4.0

TICKET_TARGET = '/ticket/17'


def with_ticket_route() -> dict[str, typing.Any]:
    """Return a newer configuration, which has one more route."""
    config: dict[str, typing.Any] = w.configuration(version='r8')
    listener = config['listeners'][0]
    listener['rules'].append(
        {
            **listener['rules'][0],
            'name': 'ticket',
            'match': {'prefix': '/ticket/'},
            'sticky': True,
        }
    )
    return config


class Upstream(w.Upstream):
    """An upstream that counts the tickets that it is drawing."""

    tickets = 0

    async def run(
        self,
        method: str,
        target: str,
        request: w.Message,
        own: w.Headers,
        until: float,
    ) -> bytes:
        """Run a request in a slot."""
        is_ticket = target == TICKET_TARGET
        self.tickets += is_ticket
        try:
            return await super().run(method, target, request, own, until)
        finally:
            self.tickets -= is_ticket


async def play(world: w.World, trouble: bool) -> bool:
    """Return whether the new route is served far less than the first ones."""
    world.add_vm('front-hobart-a-1', 'hobart-a')
    world.add_vm('front-hobart-b-1', 'hobart-b')

    def new_upstream(number: int) -> Upstream:
        return Upstream(
            world.record,
            world.store,
            f'i-{number}',
            'bookings',
            'hobart-a' if number % 2 else 'hobart-b',
            work_s=WORK_S,
        )

    upstreams = [new_upstream(number) for number in range(8)]
    world.upstreams += upstreams
    await world.start(w.configuration())
    world.store.put_doc('op/config', with_ticket_route())
    await asyncio.sleep(3.0)
    looks: list[w.Reply] = []
    tickets: list[w.Reply] = []

    async def look(client: w.Client, number: int) -> None:
        count = 0
        while True:
            count += 1
            looks.append(await client.send('GET', f'/look/{number}/{count}'))
            await asyncio.sleep(0.2)

    async def draw(client: w.Client) -> None:
        while True:
            reply = await client.send(
                'POST',
                TICKET_TARGET,
                headers={'Cookie': 'X-Affinity-Key=17'},
            )
            tickets.append(reply)
            # Clients honour Retry-After up to a third of their time.
            pause_s = min(reply.retry_after_s, CLIENT_DEADLINE_S / 3)
            await asyncio.sleep(max(0.05, pause_s))

    clients = [
        asyncio.ensure_future(look(w.Client(world, zone), number))
        for number, zone in enumerate(('hobart-a', 'hobart-b') * 2)
    ]
    clients += [
        asyncio.ensure_future(draw(w.Client(world, 'hobart-a')))
        for _ in range(4)
    ]
    await asyncio.sleep(3.0)
    until = w.now() + 20.0
    while True:
        busiest = max(upstreams, key=lambda upstream: upstream.tickets)
        if busiest.tickets >= 3:
            break
        if w.now() > until:
            raise w.CannotRunError('no upstream runs three tickets')
        await asyncio.sleep(0.005)
    begun = w.now()
    world.record.write(
        'crash' if trouble else 'no_crash',
        upstream=busiest.name,
        tickets=busiest.tickets,
    )
    if trouble:
        await busiest.stop(removes_entry=False)
    await asyncio.sleep(DOWN_S)
    if trouble:
        # Each start of an upstream is a new incarnation, with a new id.
        world.store.delete(f'servers/{busiest.name}')
        await new_upstream(10).start()
    await asyncio.sleep(begun + STEADY_AFTER_S + MEASURED_S - w.now())
    for client in clients:
        client.cancel()

    def served(replies: list[w.Reply]) -> tuple[int, int]:
        calm = [
            reply.status
            for reply in replies
            if reply.sent_at > begun + STEADY_AFTER_S
        ]
        return calm.count(200), len(calm)

    looks_served, looks_sent = served(looks)
    tickets_served, tickets_sent = served(tickets)
    world.record.write(
        'summary',
        looks_served=looks_served,
        looks_sent=looks_sent,
        tickets_served=tickets_served,
        tickets_sent=tickets_sent,
    )
    print(
        f'in steady state, {looks_served} of {looks_sent} look-ups and '
        f'{tickets_served} of {tickets_sent} tickets were served'
    )
    if looks_served < 100 or tickets_sent < 20:
        raise w.CannotRunError('too few requests')
    return tickets_served / tickets_sent < looks_served / looks_sent / 4


w.main(FOLDER, play)
