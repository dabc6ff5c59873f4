"""End-to-end tests of the operators' client against a running deployment."""

import asyncio
import json
import pathlib
import sys
import tempfile
import time
import typing
import unittest

from filbertstep import config
from filbertstep import deployment

Fields = dict[str, typing.Any]

# Least time in seconds between two looks at a key that was withdrawn.
LOOK_S = 0.1

# Requests of the burn report's test, and those of them that must fail.
GOOD = 30
FAILING = 10


class Ended(typing.NamedTuple):
    """How a command ended."""

    code: int
    out: str
    err: str

    def json(self) -> typing.Any:
        """Return the JSON that it printed."""
        return json.loads(self.out)


async def run_module(module: str, *arguments: str) -> Ended:
    """Run a command to its end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        stdin=asyncio.subprocess.DEVNULL,
        cwd=str(deployment.EXAMPLES_DIRECTORY.parent),
    )
    out, err = await process.communicate()
    return Ended(process.returncode or 0, out.decode(), err.decode())


class TestCtl(unittest.IsolatedAsyncioTestCase):
    """Every command of the operators' page, at one deployment."""

    async def asyncSetUp(self) -> None:
        """Start the deployment."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.made = deployment.Deployment(
            deployment.load_plan('huon-burr'),
            deployment.Options(directory.name, vm_list_lag_s=0.2),
        )
        await self.made.__aenter__()
        self.addAsyncCleanup(self.made.__aexit__, None, None, None)
        await self.made.start()
        self.settings = self.write_settings('ctl')

    def write_settings(self, name: str, **changes: typing.Any) -> str:
        """Write a settings file of the client; return its path."""
        path = self.directory / f'{name}.json'
        urls = [address.operators for address in self.made.node_urls.values()]
        fields = {
            'urls': urls,
            'token': self.made.operator_token,
            'author': 'anna',
            **changes,
        }
        path.write_text('// Of a test.\n' + json.dumps(fields))
        return str(path)

    async def ctl(
        self, *arguments: str, code: int = 0, settings: str = ''
    ) -> Ended:
        """Run a command and check its exit code."""
        ended = await run_module(
            'filbertstep.ctl',
            f'--settings={settings or self.settings}',
            *arguments,
        )
        self.assertEqual(code, ended.code, f'{arguments}: {ended}')
        self.assertNotIn('Traceback', ended.err)
        self.assertNotIn(self.made.operator_token, ended.out + ended.err)
        return ended

    async def status_of_request(
        self, vm: str, key: str, **headers: str
    ) -> tuple[int, float]:
        """Send a booking's look-up to a VM; return status and seconds."""
        assert self.made.session is not None
        url = f'{self.made.node_urls[vm].callers}/bookings/jobs'
        fields = {'Authorization': f'Bearer {key}', **headers}
        began = time.monotonic()
        async with self.made.session.get(url, headers=fields) as answer:
            await answer.read()
            return answer.status, time.monotonic() - began

    async def test_commands(self) -> None:
        """Guards against a command that does not do what its page says."""
        await asyncio.gather(
            self.check_reads(), self.check_usage(), self.check_refusals()
        )
        await self.check_races()
        await self.check_entities()
        await asyncio.gather(self.check_keys(), self.check_burn())
        await self.check_drains()
        await self.check_lost_vm()
        await self.check_ended_drains()

    async def check_reads(self) -> None:
        """Check commands that change nothing."""
        text, found, listed, service, services, metrics = await asyncio.gather(
            self.ctl('status'),
            self.ctl('--output=json', 'status'),
            self.ctl('--output=json', 'tickets', 'list'),
            self.ctl('entity', 'get', 'service', 'bookings'),
            self.ctl('--output=json', 'entity', 'get', 'service'),
            self.ctl('--output=json', 'tickets', 'show', '1'),
        )
        status = found.json()
        self.assertEqual(sorted(self.made.vms), sorted(status['vms']))
        self.assertEqual(
            sorted(self.made.servers), sorted(status['backend_servers'])
        )
        lines = text.out.splitlines()
        for vm, row in self.made.vms.items():
            line = next(one for one in lines if one.startswith(f'{vm} '))
            self.assertIn('serving', line)
            self.assertIn(row.availability_zone, line)
        for name in (*status['regions'], *self.made.servers):
            self.assertTrue(any(one.startswith(f'{name} ') for one in lines))
        self.assertEqual(1, listed.json()['newest'])
        self.assertIn('path_prefix: /bookings', service.out)
        self.assertIn('bookings', services.json())
        self.assertEqual('accepted', metrics.json()['state'])

    async def check_usage(self) -> None:
        """Check what ends a command before it does anything."""
        absent = str(self.directory / 'absent.json')
        nobody = self.write_settings('nobody', urls=['http://127.0.0.1:1'])
        wrong = self.write_settings('wrong', token='x' * 20)
        bad = [str(self.directory / name) for name in ('no.json', 'list.json')]
        for path, text in zip(bad, ('{', '[]')):
            pathlib.Path(path).write_text(text)
        await asyncio.gather(
            self.ctl('--output=xml', 'status', code=2),
            self.ctl('key', 'withdraw', 'cafe-1-1', '--bogus=1', code=2),
            self.ctl('key', 'withdraw', code=2),
            self.ctl('tickets', 'submit', absent, code=2),
            self.ctl('tickets', 'submit', bad[0], code=2),
            self.ctl('tickets', 'submit', bad[1], code=2),
            self.ctl('tickets', 'show', 'twelve', code=2),
            self.ctl('status', code=5, settings=nobody),
            self.ctl('status', code=7, settings=wrong),
            self.ctl('tickets', 'show', '99', code=8),
            self.ctl('tickets', 'wait', '99', code=8),
            self.ctl('entity', 'get', 'service', 'none', code=8),
            self.ctl('entity', 'get', 'nothing', code=8),
        )  # fmt: skip

    async def check_refusals(self) -> None:
        """Check that a wrong ticket is refused whole, with its field."""
        account = {'rate': 5, 'burst': 5, 'services': ['bookings']}
        changes = [
            deployment.make_change(
                config.EntityKind.CLIENT_ACCOUNT, 'cafe-8', account
            ),
            deployment.make_change(
                config.EntityKind.CLIENT_ACCOUNT,
                'cafe-9',
                {**account, 'rate': -1},
            ),
        ]
        ended = await self.submit('bad', 2, changes, code=3)
        self.assertIn('changes[1].state.rate', ended.err)
        ended = await self.ctl(
            'entity', 'set', 'client_account', 'cafe-9', '--rate=5', code=3
        )
        self.assertIn('burst', ended.err)
        ended = await self.ctl('entity', 'delete', 'service', 'none', code=3)
        self.assertIn('changes[0].name', ended.err)
        await self.ctl('entity', 'get', 'client_account', 'cafe-8', code=8)
        listed = await self.ctl('--output=json', 'tickets', 'list')
        self.assertEqual(1, listed.json()['newest'])

    async def submit(
        self,
        name: str,
        number: int,
        changes: list[deployment.TicketChange],
        code: int | None = 0,
        settings: str = '',
    ) -> Ended:
        """Submit a ticket from a file."""
        path = self.directory / f'ticket-{name}.json'
        ticket = {'number': number, 'author': name, 'changes': changes}
        path.write_text(json.dumps(ticket))
        ended = await run_module(
            'filbertstep.ctl',
            f'--settings={settings or self.settings}',
            '--output=json',
            '--no-wait',
            'tickets',
            'submit',
            str(path),
        )
        if code is not None:
            self.assertEqual(code, ended.code, ended)
        return ended

    async def check_races(self) -> None:
        """Check two operators on one number, and a ticket sent twice."""
        made: list[tuple[str, list[deployment.TicketChange], str]] = []
        for name, vm in (('race-a', 'vm-1'), ('race-b', 'vm-5')):
            state = {'rate': 5, 'burst': 5, 'services': ['bookings']}
            change = deployment.make_change(
                config.EntityKind.CLIENT_ACCOUNT, name, state
            )
            url = self.made.node_urls[vm].operators
            made.append(
                (name, [change], self.write_settings(name, urls=[url]))
            )
        ended = await asyncio.gather(
            *(
                self.submit(name, 2, changes, None, settings)
                for name, changes, settings in made
            )
        )
        codes = [one.code for one in ended]
        self.assertEqual([0, 4], sorted(codes), ended)
        won, lost = codes.index(0), codes.index(4)
        again = await self.submit(made[won][0], 2, made[won][1])
        self.assertEqual(2, again.json()['number'])
        await self.ctl('tickets', 'wait', '2')
        await asyncio.gather(
            self.ctl('entity', 'get', 'client_account', made[won][0]),
            self.ctl('entity', 'get', 'client_account', made[lost][0], code=8),
        )
        listed = await self.ctl('--output=json', 'tickets', 'list')
        self.assertEqual(2, listed.json()['newest'])

    async def check_entities(self) -> None:
        """Check that fields are changed and the others are kept."""
        account = self.made.keys[0].client_account
        get = ('--output=json', 'entity', 'get', 'client_account', account)
        before = (await self.ctl(*get)).json()['state']
        await self.ctl(
            '--no-wait', 'entity', 'set', 'client_account', account,
            '--rate=777', '--burst=888',
        )  # fmt: skip
        after = (await self.ctl(*get)).json()['state']
        self.assertEqual({**before, 'rate': 777, 'burst': 888}, after)
        await self.ctl(
            '--no-wait', 'entity', 'set', 'client_account', 'cafe-9',
            '--rate=50', '--burst=90', '--services=["bookings"]',
        )  # fmt: skip
        await self.ctl(
            '--no-wait', 'entity', 'set', 'shift_cap', 'bookings',
            '--max_share=0.2', '--interval_s=10',
        )  # fmt: skip

    async def check_keys(self) -> None:
        """Check that a key works everywhere, and then nowhere in 9 s."""
        ended = await self.ctl(
            '--output=json', 'key', 'issue', 'cafe-9', 'cafe-9-key-1'
        )
        key = ended.json()['key']
        await self.ctl('key', 'issue', 'cafe-9', 'cafe-9-key-1', code=2)
        kept = await self.ctl('entity', 'get', 'key', 'cafe-9-key-1')
        self.assertNotIn(key, kept.out)
        for vm in self.made.vms:
            status, _ = await self.status_of_request(vm, key)
            self.assertEqual(200, status, vm)
        began = time.monotonic()
        withdrawal = asyncio.ensure_future(
            self.ctl('key', 'withdraw', 'cafe-9-key-1')
        )
        committed_s = await self.until_refused(key, began)
        await withdrawal
        # The commit is later than the start of the command, so that this
        # bound is stricter than the 9 s from the commit.
        self.assertLess(committed_s, 9.0)
        for vm in self.made.vms:
            status, _ = await self.status_of_request(vm, key)
            self.assertEqual(401, status, vm)
        await self.ctl(
            '--no-wait', 'entity', 'delete', 'client_account', 'cafe-9'
        )

    async def until_refused(self, key: str, began: float) -> float:
        """Return seconds until all VMs refuse a key."""
        while True:
            found = await asyncio.gather(
                *(self.status_of_request(vm, key) for vm in self.made.vms)
            )
            took = time.monotonic() - began
            if {status for status, _ in found} == {401} or took > 12:
                return took
            await asyncio.sleep(LOOK_S)

    async def check_drains(self) -> None:
        """Check that drains show in the state, and end."""
        server = sorted(self.made.servers)[0]
        await self.ctl('--no-wait', 'drain', 'start', 'backend_server', server)
        await self.ctl('--no-wait', 'drain', 'start', 'region', 'burnie')
        await self.ctl('drain', 'start', 'vm', 'vm-2')
        status = (await self.ctl('--output=json', 'status')).json()
        self.assertEqual('drained', status['backend_servers'][server]['state'])
        self.assertTrue(status['regions']['burnie']['drained'])
        await self.ctl('--no-wait', 'drain', 'end', 'backend_server', server)
        await self.ctl('--no-wait', 'drain', 'end', 'region', 'burnie')
        await self.ctl('--no-wait', 'drain', 'end', 'vm', 'vm-2')

    async def check_ended_drains(self) -> None:
        """Check that what was drained is used again within 9 s."""
        server = sorted(self.made.servers)[0]

        async def used() -> bool:
            _, status = await self.made.call_operator_api(
                'vm-1', 'GET', '/v1/status'
            )
            drained = [row['drained'] for row in status['regions'].values()]
            state = status['backend_servers'][server]['state']
            return state != 'drained' and not any(drained)

        await self.made.wait_until_async(used, 9.0, 'no drain is in force')

    def burn_row(self, report: Fields, account: str, objective: str) -> Fields:
        """Return an account's row of one objective."""
        return next(
            row
            for row in report['rows']
            if account in row['name'] and row['objective'] == objective
        )

    async def check_burn(self) -> None:
        """Check the report with a known share, a killed VM, and the plot."""
        key = self.made.keys[0]
        late = 0
        limit_s = (
            self.made.plan['services']['bookings']['objective']['in_time_ms']
            / 1000
        )
        before = (await self.ctl('--output=json', 'burn')).json()
        vms = list(self.made.vms)
        for number in range(GOOD + FAILING):
            fields = {'X-Deadline-Ms': '1'} if number < FAILING else {}
            status, seconds = await self.status_of_request(
                vms[number % len(vms)], key.secret, **fields
            )
            self.assertEqual(number >= FAILING, status == 200)
            late += number >= FAILING and seconds > limit_s
        image = self.directory / 'burn.png'
        text = await self.ctl('burn', f'--plot={image}')
        self.assertIn(key.client_account, text.out)
        self.assertTrue(image.read_bytes().startswith(b'\x89PNG'))
        report = (await self.ctl('--output=json', 'burn')).json()
        self.assertEqual([], report['missing'])
        in_time = self.burn_row(report, key.client_account, 'in_time')
        served = self.burn_row(report, key.client_account, 'served')
        # A request whose time is too short is refused before it is sent, or
        # fails at its deadline; the first is judged by 'served' only.
        refused = served['bad']['5']
        failed = in_time['total']['5'] - GOOD
        self.assertEqual(FAILING, refused + failed)
        self.assertEqual(GOOD + FAILING, served['total']['5'])
        self.assertGreaterEqual(in_time['bad']['5'], failed)
        self.assertLessEqual(in_time['bad']['5'], failed + late)
        self.assertEqual([], before['missing'])

    async def check_lost_vm(self) -> None:
        """Check that the report names a VM whose counts are missing."""
        await self.made.kill_node('vm-7')
        text = await self.ctl('burn')
        self.assertIn('did not answer: vm-7', text.out)
