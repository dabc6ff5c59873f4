"""Tests of the example plans and of ``Deployment``, which runs them."""

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

EXAMPLE_NAMES = ('huon-burr', 'vleiland')

# (backend servers, slots of each) of every service, from the design page.
SERVICE_SIZES: typing.Final = {
    'huon-burr': {'bookings': (20, 3), 'calibration': (14, 3)},
    'vleiland': {'order-desk': (20, 4), 'care-library': (16, 4)},
}


class TestPlans(unittest.TestCase):
    """Plans of the example deployments and the tickets built from them."""

    def test_sizes(self) -> None:
        """Guards against examples smaller than the design page says."""
        for name in EXAMPLE_NAMES:
            plan = deployment.load_plan(name)
            with self.subTest(name):
                self.assertEqual(7, len(deployment.list_vms(plan)))
                self.assertEqual(8, len(plan['client_accounts']))
                self.assertEqual(
                    SERVICE_SIZES[name],
                    {
                        name: (service['upstreams'], service['slots'])
                        for name, service in plan['services'].items()
                    },
                )

    def test_everything_is_spread_over_all_zones(self) -> None:
        """Guards against a service that the failure of one zone takes down."""
        for name in EXAMPLE_NAMES:
            plan = deployment.load_plan(name)
            zones = {
                zone
                for region in plan['regions'].values()
                for zone in region['availability_zones']
            }
            used_zones = {
                vm.availability_zone for vm in deployment.list_vms(plan)
            }
            self.assertEqual(zones, used_zones)
            for service in plan['services']:
                used_zones = {
                    server.availability_zone
                    for server in deployment.list_servers(plan)
                    if server.service == service
                }
                self.assertEqual(zones, used_zones)

    def test_first_ticket_is_valid(self) -> None:
        """Guards against a first ticket that nodes reject as invalid."""
        for name in EXAMPLE_NAMES:
            ticket = deployment.build_example_ticket(
                deployment.load_plan(name)
            )
            for change in ticket['changes']:
                with self.subTest(name, change=change['name']):
                    checked = config.check_document(
                        config.EntityKind(change['kind']), change['state']
                    )
                    self.assertIsInstance(checked, result.Ok)
            configuration = config.build_config(
                deployment.build_documents(ticket)
            )
            self.assertEqual(8, len(configuration.keys))
            self.assertEqual(3, len(configuration.sites))
            self.assertEqual(6, len(configuration.links))
            self.assertEqual(
                set(configuration.services), set(configuration.shift_caps)
            )

    def test_kept_tickets_are_up_to_date(self) -> None:
        """Guards against a checked-in ticket that no longer fits its plan."""
        for name in EXAMPLE_NAMES:
            path = deployment.EXAMPLES_DIRECTORY / name / 'ticket-1.json'
            checked_in = json.loads(path.read_text(encoding='utf-8'))
            built = deployment.build_example_ticket(deployment.load_plan(name))
            self.assertEqual(json.loads(json.dumps(built)), checked_in)

    def test_no_key_is_in_a_ticket(self) -> None:
        """Guards against key secrets in tickets, and unseeded secrets."""
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
    """``Deployment`` with real stand-ins and fake nodes."""

    def setUp(self) -> None:
        """Create the deployment's directory."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name

    def make_deployment(
        self, name: str, **options: typing.Any
    ) -> deployment.Deployment:
        """Return a deployment of fake nodes that is not started yet."""
        return deployment.Deployment(
            deployment.load_plan(name),
            deployment.Options(
                self.directory,
                node_module='tests.fake_node',
                vm_list_lag_s=0.0,
                **options,
            ),
        )

    def all_exited(self, pids: list[int]) -> bool:
        """Return whether none of the process ids exists."""
        for pid in pids:
            try:
                os.kill(pid, 0)
            except ProcessLookupError:
                continue
            return False
        return True

    async def listed_states(
        self, deployed: deployment.Deployment
    ) -> dict[str, str]:
        """Return the states in the platform's VM list by VM."""
        url = deployed.control_urls['vms'] + '/control'
        vms = (await deployed.request_json('GET', url))[1]['vms']
        return {name: doc['state'] for name, doc in vms.items()}

    async def test_start_disturb_and_end(self) -> None:
        """Guards against faults that are not injected or not recorded.

        Also guards against a process that outlives the context.
        """
        async with self.make_deployment('huon-burr') as deployed:
            await deployed.start()
            pids = [
                deployed.processes.pid(n)
                for n in deployed.processes.popen_by_name
            ]
            self.assertEqual(7, len(await self.listed_states(deployed)))
            await deployed.kill_node('vm-2')
            self.assertEqual(
                -signal.SIGKILL, deployed.processes.exit_status('vm-2')
            )
            await deployed.stop_node('vm-3')
            self.assertEqual(0, deployed.processes.exit_status('vm-3'))
            self.assertEqual(5, len(await self.listed_states(deployed)))
            await deployed.start_node('vm-2')
            await deployed.wait_until_ready(['vm-2'])
            # The exit must end suspended processes as well.
            deployed.suspend_process('vm-4')
            deployed.suspend_process('store')
        self.assertTrue(self.all_exited(pids))
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
        """Guards against processes that outlive a failed test."""
        pids: list[int] = []
        with self.assertRaises(ZeroDivisionError):
            async with self.make_deployment('huon-burr') as deployed:
                await deployed.start_node('vm-1')
                pids = [
                    deployed.processes.pid(n)
                    for n in deployed.processes.popen_by_name
                ]
                raise ZeroDivisionError
        self.assertGreater(len(pids), 5)
        self.assertTrue(self.all_exited(pids))

    async def test_processes_end_when_their_parent_is_told_to(self) -> None:
        """Guards against processes that outlive a run ended by SIGTERM."""
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
        self.assertTrue(self.all_exited(pids))

    async def test_region_can_be_killed(self) -> None:
        """Guards against processes of a killed region that still run.

        The processes of other regions must go on.
        """
        async with self.make_deployment('vleiland') as deployed:
            await deployed.start_nodes()
            await deployed.kill_region('western-cape')
            for name, process in deployed.processes.popen_by_name.items():
                with self.subTest(name):
                    vm = deployed.vms.get(name)
                    killed = name == 'backends-western-cape' or (
                        vm is not None and vm.region == 'western-cape'
                    )
                    self.assertEqual(killed, process.poll() is not None)
            self.assertEqual(5, len(await self.listed_states(deployed)))

    async def test_node_that_ends_is_reported(self) -> None:
        """Guards against waiting for a node that exited at its start."""
        deployed = self.make_deployment('huon-burr')
        deployed.options = deployed.options._replace(
            node_module='tests.absent'
        )
        async with deployed:
            await deployed.start_node('vm-1')
            with self.assertRaisesRegex(
                deployment.DeploymentError, 'tests.absent'
            ):
                await deployed.wait_until_ready(['vm-1'])

    async def test_relays_can_be_cut(self) -> None:
        """Guards against nodes that bypass their relay to the store."""
        async with self.make_deployment('vleiland', relays=True) as deployed:
            await deployed.start_nodes()
            await deployed.wait_until_ready(['vm-1', 'vm-4'])
            await deployed.partition_store('vm-4', 'reset')
            status, _ = await deployed.call_operator_api(
                'vm-4', 'GET', '/v1/status'
            )
            self.assertEqual(500, status)
            status, _ = await deployed.call_operator_api(
                'vm-1', 'GET', '/v1/status'
            )
            self.assertEqual(200, status)
            await deployed.partition_store('vm-4', 'open')
            await deployed.wait_until_ready(['vm-4'])
            await deployed.partition_region('gauteng', 'reset')
            status, _ = await deployed.call_operator_api(
                'vm-4', 'GET', '/v1/status'
            )
            self.assertEqual(500, status)
            status, _ = await deployed.call_operator_api(
                'vm-1', 'GET', '/v1/status'
            )
            self.assertEqual(200, status)

    async def test_facts_and_history(self) -> None:
        """Guards against facts that lack tickets, withdrawals or drains."""
        async with self.make_deployment('vleiland') as deployed:
            await deployed.start()
            name = next(iter(deployed.servers))
            await deployed.configure_backend_server(name, draining=True)
            withdrawal: deployment.TicketChange = deployment.make_change(
                config.EntityKind.KEY, deployed.keys[0].name, None
            )
            await deployed.submit_changes([withdrawal])
            url = f'http://{deployed.server_addresses[name]}/order-desk'
            status, content = await deployed.request_json('GET', url)
            self.assertEqual((200, name), (status, content['server']))
            facts = deployed.read_facts()
            events = deployed.read_events()
        self.assertEqual(36, len(facts.servers))
        self.assertEqual('gauteng', facts.vm_regions['vm-1'])
        self.assertEqual([1, 2], [ticket.number for ticket in facts.tickets])
        self.assertEqual(
            deployed.keys[0].name, facts.key_withdrawals[0].key_name
        )
        self.assertEqual(
            [name], [drain.server for drain in facts.server_drains]
        )
        # The test called the server directly, so the history has no request of
        # a caller that the server could have run.  The checkers must notice.
        violations = checking.check_history(events, facts)
        self.assertEqual(
            {'P3'}, {violation.promise for violation in violations}
        )


class TestSeparateBackends(unittest.IsolatedAsyncioTestCase):
    """Backend servers that run as processes of their own."""

    async def test_crash_ends_the_process(self) -> None:
        """Guards against a crash that does not end the server's process.

        The process must be able to start again afterwards.
        """
        with tempfile.TemporaryDirectory() as directory:
            plan = deployment.load_plan('huon-burr')
            for service in plan['services'].values():
                service['upstreams'] = 1
            deployed = deployment.Deployment(
                plan,
                deployment.Options(
                    directory, separate_backends=True, crash_text='boom'
                ),
            )
            async with deployed:
                name = next(iter(deployed.servers))
                url = f'http://{deployed.server_addresses[name]}/bookings'
                with self.assertRaises(aiohttp.ClientError):
                    await deployed.request_json('POST', url, 'boom')
                process = deployed.backend_process_by_server[name]
                async with asyncio.timeout(5):
                    while deployed.processes.is_running(process):
                        await asyncio.sleep(0.01)
                self.assertEqual(
                    _standin_fleet.CRASH_EXIT_STATUS,
                    deployed.processes.exit_status(process),
                )
                deployed.start_backend_process(process)
                await deployed.wait_until_standin_ready(process)
                self.assertEqual(
                    200, (await deployed.request_json('GET', url))[0]
                )
            events = checking.read_history(f'{directory}/history')
        names = [
            event['event'] for event in events if event.get('server') == name
        ]
        self.assertEqual(['server_state', 'begin', 'crash'], names[:3])
