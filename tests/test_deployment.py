"""Tests of the example deployments and of the class that runs them."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import typing
import unittest

import aiohttp
import result

from filbertstep import _standin_fleet
from filbertstep import checking
from filbertstep import config
from filbertstep import deployment

NAMES = ('huon-burr', 'vleiland')

# Upstreams and slots from the sizes in the design page.
SIZES: typing.Final = {
    'huon-burr': {'bookings': (20, 3), 'calibration': (14, 3)},
    'vleiland': {'order-desk': (20, 4), 'care-library': (16, 4)},
}


class TestPlans(unittest.TestCase):
    """Both example deployments are whole and valid."""

    def test_sizes(self) -> None:
        """Guards against an example smaller than the deployment it shows."""
        for name in NAMES:
            plan = deployment.load_plan(name)
            with self.subTest(name):
                self.assertEqual(7, len(deployment.list_vms(plan)))
                self.assertEqual(8, len(plan['client_accounts']))
                self.assertEqual(
                    SIZES[name],
                    {
                        service: (doc['upstreams'], doc['slots'])
                        for service, doc in plan['services'].items()
                    },
                )

    def test_everything_is_spread_over_all_zones(self) -> None:
        """Guards against a service that one zone's failure ends."""
        for name in NAMES:
            plan = deployment.load_plan(name)
            zones = {
                zone
                for doc in plan['regions'].values()
                for zone in doc['availability_zones']
            }
            found = {vm.availability_zone for vm in deployment.list_vms(plan)}
            self.assertEqual(zones, found)
            for service in plan['services']:
                found = {
                    server.availability_zone
                    for server in deployment.list_servers(plan)
                    if server.service == service
                }
                self.assertEqual(zones, found)

    def test_first_ticket_is_valid(self) -> None:
        """Guards against a ticket that a node would refuse."""
        for name in NAMES:
            ticket = deployment.build_example_ticket(
                deployment.load_plan(name)
            )
            for change in ticket['changes']:
                with self.subTest(name, change=change['name']):
                    checked = config.check_document(
                        config.EntityKind(change['kind']), change['state']
                    )
                    self.assertIsInstance(checked, result.Ok)
            made = config.build_config(deployment.build_documents(ticket))
            self.assertEqual(8, len(made.keys))
            self.assertEqual(3, len(made.sites))
            self.assertEqual(6, len(made.links))
            self.assertEqual(set(made.services), set(made.shift_caps))

    def test_kept_tickets_are_up_to_date(self) -> None:
        """Guards against an example that differs from the generator."""
        for name in NAMES:
            path = deployment.EXAMPLES_DIRECTORY / name / 'ticket-1.json'
            kept = json.loads(path.read_text(encoding='utf-8'))
            made = deployment.build_example_ticket(deployment.load_plan(name))
            self.assertEqual(json.loads(json.dumps(made)), kept)

    def test_no_key_is_in_a_ticket(self) -> None:
        """Guards against a configuration that holds keys."""
        plan = deployment.load_plan('vleiland')
        keys = deployment.generate_keys(plan, 5)
        self.assertEqual(keys, deployment.generate_keys(plan, 5))
        self.assertNotEqual(keys, deployment.generate_keys(plan, 6))
        addresses = {
            server.name: '127.0.0.1:1'
            for server in deployment.list_servers(plan)
        }
        ticket = deployment.build_first_ticket(plan, addresses, keys)
        self.assertNotIn(deployment.KEY_PREFIX, json.dumps(ticket))


class TestDeployment(unittest.IsolatedAsyncioTestCase):
    """Real stand-ins and nodes that serve only operators."""

    def setUp(self) -> None:
        """Make a directory."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def make(self, name: str, **options: typing.Any) -> deployment.Deployment:
        """Return a deployment that is not started."""
        return deployment.Deployment(
            deployment.load_plan(name),
            deployment.Options(
                self.directory,
                node_module='tests.fake_node',
                vm_list_lag_s=0.0,
                **options,
            ),
        )

    def gone(self, pids: list[int]) -> bool:
        """Tell whether no process has one of some ids."""
        for pid in pids:
            try:
                os.kill(pid, 0)
            except ProcessLookupError:
                continue
            return False
        return True

    async def listed(self, made: deployment.Deployment) -> dict[str, str]:
        """Return the states of the VMs that the platform lists."""
        url = made.control_urls['vms'] + '/control'
        shown = (await made.request_json('GET', url))[1]['vms']
        return {name: doc['state'] for name, doc in shown.items()}

    async def test_start_disturb_and_end(self) -> None:
        """Guards against processes that are not started, or left behind."""
        async with self.make('huon-burr') as made:
            await made.start()
            pids = [
                made.processes.pid(n) for n in made.processes.popen_by_name
            ]
            self.assertEqual(7, len(await self.listed(made)))
            await made.kill_node('vm-2')
            self.assertEqual(
                -signal.SIGKILL, made.processes.exit_status('vm-2')
            )
            await made.stop_node('vm-3')
            self.assertEqual(0, made.processes.exit_status('vm-3'))
            self.assertEqual(5, len(await self.listed(made)))
            await made.start_node('vm-2')
            await made.wait_until_ready(['vm-2'])
            # A frozen process must be ended as well.
            made.suspend_process('vm-4')
            made.suspend_process('store')
        self.assertTrue(self.gone(pids))
        names = [
            event['event']
            for event in checking.read_history(f'{self.directory}/history')
            if event['process'] == 'operator'
        ]
        self.assertEqual(
            [
                'ticket_committed',
                'ticket_accepted',
                'killed',
                'stop_began',
                'stop_ended',
                'frozen',
                'frozen',
            ],
            [name for name in names if name != 'ticket_submitted'],
        )

    async def test_processes_end_on_exceptions(self) -> None:
        """Guards against processes that outlive a test that failed."""
        pids: list[int] = []
        with self.assertRaises(ZeroDivisionError):
            async with self.make('huon-burr') as made:
                await made.start_node('vm-1')
                pids = [
                    made.processes.pid(n) for n in made.processes.popen_by_name
                ]
                raise ZeroDivisionError
        self.assertGreater(len(pids), 5)
        self.assertTrue(self.gone(pids))

    async def test_processes_end_when_their_parent_is_told_to(self) -> None:
        """Guards against processes that outlive a run that timed out."""
        parent = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.hold_deployment',
            self.directory,
            cwd=str(deployment.EXAMPLES_DIRECTORY.parent),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert parent.stdout is not None
        async with asyncio.timeout(20):
            pids = json.loads(await parent.stdout.readline())
            parent.terminate()
            await parent.wait()
        self.assertGreater(len(pids), 4)
        self.assertTrue(self.gone(pids))

    async def test_region_can_be_killed(self) -> None:
        """Guards against a failed region of which something lives on."""
        async with self.make('vleiland') as made:
            await made.start_nodes()
            await made.kill_region('western-cape')
            for name, process in made.processes.popen_by_name.items():
                with self.subTest(name):
                    row = made.vms.get(name)
                    dead = name == 'backends-western-cape' or (
                        row is not None and row.region == 'western-cape'
                    )
                    self.assertEqual(dead, process.poll() is not None)
            self.assertEqual(5, len(await self.listed(made)))

    async def test_node_that_ends_is_reported(self) -> None:
        """Guards against a wait for a node that has failed."""
        made = self.make('huon-burr')
        made.options = made.options._replace(node_module='tests.absent')
        async with made:
            await made.start_node('vm-1')
            with self.assertRaisesRegex(
                deployment.DeploymentError, 'tests.absent'
            ):
                await made.wait_until_ready(['vm-1'])

    async def test_relays_can_be_cut(self) -> None:
        """Guards against nodes that reach the store around a cut."""
        async with self.make('vleiland', relays=True) as made:
            await made.start_nodes()
            await made.wait_until_ready(['vm-1', 'vm-4'])
            await made.partition_store('vm-4', 'reset')
            status, _ = await made.call_operator_api(
                'vm-4', 'GET', '/v1/status'
            )
            self.assertEqual(500, status)
            status, _ = await made.call_operator_api(
                'vm-1', 'GET', '/v1/status'
            )
            self.assertEqual(200, status)
            await made.partition_store('vm-4', 'open')
            await made.wait_until_ready(['vm-4'])
            await made.partition_region('gauteng', 'reset')
            status, _ = await made.call_operator_api(
                'vm-4', 'GET', '/v1/status'
            )
            self.assertEqual(500, status)
            status, _ = await made.call_operator_api(
                'vm-1', 'GET', '/v1/status'
            )
            self.assertEqual(200, status)

    async def test_facts_and_history(self) -> None:
        """Guards against facts that the checkers cannot use."""
        async with self.make('vleiland') as made:
            await made.start()
            name = next(iter(made.servers))
            await made.configure_backend_server(name, draining=True)
            drain: deployment.TicketChange = deployment.make_change(
                config.EntityKind.KEY, made.keys[0].name, None
            )
            await made.submit_changes([drain])
            url = f'http://{made.server_addresses[name]}/order-desk'
            status, content = await made.request_json('GET', url)
            self.assertEqual((200, name), (status, content['server']))
            facts = made.read_facts()
            events = made.read_events()
        self.assertEqual(36, len(facts.servers))
        self.assertEqual('gauteng', facts.vm_regions['vm-1'])
        self.assertEqual([1, 2], [one.number for one in facts.tickets])
        self.assertEqual(made.keys[0].name, facts.key_withdrawals[0].key_name)
        self.assertEqual([name], [one.server for one in facts.server_drains])
        # No caller had sent the request, which the checkers must notice.
        found = checking.check_history(events, facts)
        self.assertEqual({'P3'}, {one.promise for one in found})


class TestSeparateBackends(unittest.IsolatedAsyncioTestCase):
    """A backend server of its own process."""

    async def test_crash_ends_the_process(self) -> None:
        """Guards against a crash that a process survives."""
        with tempfile.TemporaryDirectory() as directory:
            plan = deployment.load_plan('huon-burr')
            for doc in plan['services'].values():
                doc['upstreams'] = 1
            made = deployment.Deployment(
                plan,
                deployment.Options(
                    directory, separate_backends=True, crash_text='boom'
                ),
            )
            async with made:
                name = next(iter(made.servers))
                url = f'http://{made.server_addresses[name]}/bookings'
                with self.assertRaises(aiohttp.ClientError):
                    await made.request_json('POST', url, 'boom')
                group = made.backend_process_by_server[name]
                async with asyncio.timeout(5):
                    while made.processes.is_running(group):
                        await asyncio.sleep(0.01)
                self.assertEqual(
                    _standin_fleet.CRASH_EXIT_STATUS,
                    made.processes.exit_status(group),
                )
                made.start_backend_process(group)
                await made.wait_until_standin_ready(group)
                self.assertEqual(200, (await made.request_json('GET', url))[0])
            events = checking.read_history(f'{directory}/history')
        names = [one['event'] for one in events if one.get('server') == name]
        self.assertEqual(['server_state', 'begin', 'crash'], names[:3])
