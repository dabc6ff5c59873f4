"""Tests of the stand-in for the key-value service."""

import asyncio
import base64
import typing
import unittest

import aiohttp

from filbertstep import _kv
from filbertstep import _standin_store
from tests import standin_case


class PutCase(typing.NamedTuple):
    """A write to a table whose key ``k`` has value ``a`` and index 2.

    ``index_after`` is the index of the table after the write.
    """

    name: str
    request: _kv.PutRequest
    succeeds: bool
    index_after: int


PUT_CASES = [
    PutCase('no condition', _kv.PutRequest('k', b'b'), True, 3),
    PutCase('same index', _kv.PutRequest('k', b'b', cas=2), True, 3),
    PutCase('other index', _kv.PutRequest('k', b'b', cas=1), False, 2),
    PutCase('must be absent', _kv.PutRequest('k', b'b', cas=0), False, 2),
    PutCase('absent', _kv.PutRequest('other', b'b', cas=0), True, 3),
    PutCase('nothing changes', _kv.PutRequest('k', b'a', cas=2), True, 2),
    PutCase('other flags', _kv.PutRequest('k', b'a', flags=1), True, 3),
    PutCase(
        'equal writes raise the index',
        _kv.PutRequest('k', b'a', equal_write_keeps_index=False),
        True,
        3,
    ),
    PutCase('not locked', _kv.PutRequest('k', b'b', release='s'), False, 2),
]


class TestKvTable(unittest.TestCase):
    """Conditional writes, the modify index, locks and sessions."""

    def setUp(self) -> None:
        """Write one key."""
        self.table = _kv.KvTable()
        self.table.put(_kv.PutRequest('k', b'a'), 0.0).unwrap()

    def test_conditional_writes(self) -> None:
        """Guards against a conditional write that overwrites a newer value."""
        for case in PUT_CASES:
            with self.subTest(case.name):
                self.setUp()
                succeeded = self.table.put(case.request, 0.0).unwrap()
                self.assertEqual(case.succeeds, succeeded)
                self.assertEqual(case.index_after, self.table.index)

    def create_session(self, **body: object) -> str:
        """Create a session at time 0 and return its id."""
        return self.table.create_session(dict(body), 0.0).unwrap().id

    def put(self, now: float, **fields: typing.Any) -> bool:
        """Write the key at time ``now`` and return whether it succeeded."""
        return self.table.put(
            _kv.PutRequest('k', b'x', **fields), now
        ).unwrap()

    def test_lock_has_one_holder(self) -> None:
        """Guards against a lock that two sessions hold at once."""
        first, second = self.create_session(), self.create_session()
        self.assertTrue(self.put(0.0, acquire=first))
        self.assertFalse(self.put(0.0, acquire=second))
        self.assertTrue(self.put(0.0, acquire=first))
        self.assertFalse(self.put(0.0, release=second))
        self.assertTrue(self.put(0.0, release=first))
        self.assertTrue(self.put(0.0, acquire=second))
        self.assertEqual(2, self.table.entries['k'].lock_index)

    def test_expired_session_loses_its_lock(self) -> None:
        """Guards against a paused client that keeps its lock too long."""
        first = self.create_session(TTL='10s', LockDelay='5s')
        second = self.create_session()
        self.assertTrue(self.put(0.0, acquire=first))
        self.assertIsNotNone(self.table.renew_session(first, 9.0))
        self.assertFalse(self.table.expire_sessions(18.9))
        self.assertTrue(self.table.expire_sessions(19.0))
        self.assertIsNone(self.table.renew_session(first, 19.0))
        self.assertFalse(self.put(23.9, acquire=second))
        self.assertTrue(self.put(24.1, acquire=second))

    def test_session_can_delete_its_keys(self) -> None:
        """Guards against keys left behind by a session that deletes them."""
        session_id = self.create_session(Behavior='delete')
        self.put(0.0, acquire=session_id)
        self.table.invalidate_session(session_id, 1.0)
        self.assertEqual([], self.table.find('k', False))

    def test_invalid_sessions_are_rejected(self) -> None:
        """Guards against sessions that the real service would reject."""
        self.assertTrue(self.table.create_session({'TTL': '9s'}, 0.0).is_err())
        self.assertTrue(
            self.table.put(
                _kv.PutRequest('k', b'', acquire='no'), 0.0
            ).is_err()
        )

    def test_durations(self) -> None:
        """Guards against a wait time that is parsed wrongly."""
        for text, seconds in (
            ('10s', 10.0),
            ('500ms', 0.5),
            ('1m30s', 90.0),
            ('', 7.0),
        ):
            self.assertEqual(seconds, _kv.parse_duration_s(text, 7.0))


class TestStore(standin_case.StandinCase):
    """The published HTTP API and the injected faults."""

    async def asyncSetUp(self) -> None:
        """Serve a store."""
        await super().asyncSetUp()
        self.standin = _standin_store.StoreStandin(
            _standin_store.NO_FAULTS, 1, self.history
        )
        await self.serve(self.standin.app())

    async def put(
        self, value: bytes, query: str = '', key: str = 'a/k'
    ) -> standin_case.Response:
        """Write a key."""
        return await self.call('PUT', f'/v1/kv/{key}{query}', value)

    async def test_read_and_write(self) -> None:
        """Guards against responses that differ from the published API."""
        missing = await self.call('GET', '/v1/kv/a/k?consistent')
        self.assertEqual(404, missing.status)
        self.assertIn('X-Consul-Index', missing.headers)
        self.assertEqual(b'true', (await self.put(b'one', '?cas=0')).body)
        self.assertEqual(b'false', (await self.put(b'two', '?cas=0')).body)
        found = await self.call('GET', '/v1/kv/a/k?consistent')
        entry = found.json()[0]
        self.assertEqual(b'one', base64.b64decode(entry['Value']))
        self.assertEqual('a/k', entry['Key'])
        self.assertEqual(
            found.headers['X-Consul-Index'], str(entry['ModifyIndex'])
        )
        raw = await self.call('GET', '/v1/kv/a/k?raw')
        self.assertEqual(b'one', raw.body)

    async def test_prefixes_and_delete(self) -> None:
        """Guards against listings with missing or additional keys."""
        for key in ('a/1', 'a/2', 'b/1'):
            await self.put(b'x', key=key)
        keys = await self.call('GET', '/v1/kv/a/?keys')
        self.assertEqual(['a/1', 'a/2'], keys.json())
        all_entries = await self.call('GET', '/v1/kv/?recurse')
        self.assertEqual(3, len(all_entries.json()))
        await self.call('DELETE', '/v1/kv/a/?recurse')
        remaining = await self.call('GET', '/v1/kv/?keys')
        self.assertEqual(['b/1'], remaining.json())

    async def read_blocking(
        self, index: str, wait: str
    ) -> standin_case.Response:
        """Read the key with a blocking query."""
        return await self.call('GET', f'/v1/kv/a/k?index={index}&wait={wait}')

    async def test_blocking_read(self) -> None:
        """Guards against a watch that misses a change or never returns."""
        await self.put(b'one')
        first = await self.call('GET', '/v1/kv/a/k')
        index = first.headers['X-Consul-Index']
        timed_out = await self.read_blocking(index, '20ms')
        self.assertEqual(index, timed_out.headers['X-Consul-Index'])
        task = asyncio.create_task(self.read_blocking(index, '4s'))
        while not self.standin.blocked_reads:
            await asyncio.sleep(0.001)
        await self.put(b'unrelated', key='b')
        await self.put(b'two')
        changed = await task
        self.assertGreater(int(changed.headers['X-Consul-Index']), int(index))
        value = base64.b64decode(changed.json()[0]['Value'])
        self.assertEqual(b'two', value)

    async def test_value_limit(self) -> None:
        """Guards against values larger than the real service accepts."""
        max_bytes = _kv.MAX_VALUE_BYTES
        self.assertEqual(200, (await self.put(b'x' * max_bytes)).status)
        self.assertEqual(413, (await self.put(b'x' * (max_bytes + 1))).status)

    async def test_rate_limits(self) -> None:
        """Guards against rate limits that are not applied."""
        await self.control(writes_per_s=3.0, reads_per_s=2.0)
        writes = [(await self.put(b'x')).status for _ in range(5)]
        self.assertEqual([200, 200, 200, 429], writes[:4])
        reads = [
            (await self.call('GET', '/v1/kv/a/k')).status for _ in range(3)
        ]
        self.assertEqual([200, 200, 429], reads)
        counts = (await self.call('GET', '/control')).json()['counts']
        self.assertEqual((5, 3), (counts['writes'], counts['reads']))

    async def test_lost_answer_takes_effect(self) -> None:
        """Guards against a fault that loses the write with its response."""
        await self.control(lose_answers=1)
        self.assertEqual(b'', await self.put_without_retry(b'one'))
        raw = await self.call('GET', '/v1/kv/a/k?raw')
        self.assertEqual(b'one', raw.body)
        self.assertEqual(b'true', (await self.put(b'two')).body)
        shown = (await self.call('GET', '/control')).json()
        self.assertEqual(
            (0, 1), (shown['lose_answers'], shown['counts']['lost'])
        )

    async def put_without_retry(self, value: bytes) -> bytes:
        """Write the key over a plain socket and return the raw response.

        aiohttp's client retries a PUT when the connection ends without a
        response, which would hide the lost response.
        """
        host, _, port = self.url.removeprefix('http://').partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f'PUT /v1/kv/a/k HTTP/1.1\r\nHost: {host}\r\n'
        writer.write(f'{head}Content-Length: {len(value)}\r\n\r\n'.encode())
        writer.write(value)
        try:
            async with asyncio.timeout(5):
                return await reader.read(-1)
        except ConnectionError:
            return b''
        finally:
            writer.close()

    async def test_down(self) -> None:
        """Guards against calls and blocking reads that survive an outage."""
        await self.put(b'one')
        index = (await self.call('GET', '/v1/kv/a/k')).headers[
            'X-Consul-Index'
        ]
        task = asyncio.create_task(self.read_blocking(index, '4s'))
        while not self.standin.blocked_reads:
            await asyncio.sleep(0.001)
        await self.control(down=True)
        with self.assertRaises(aiohttp.ClientError):
            await task
        with self.assertRaises(aiohttp.ClientError):
            await self.call('GET', '/v1/kv/a/k')
        await self.control(down=False)
        raw = await self.call('GET', '/v1/kv/a/k?raw')
        self.assertEqual(b'one', raw.body)

    async def test_sessions(self) -> None:
        """Guards against sessions that work in the table but not over HTTP."""
        created = await self.call('PUT', '/v1/session/create', {'TTL': '10s'})
        session_id = created.json()['ID']
        locked = await self.put(b'x', f'?acquire={session_id}')
        self.assertEqual(b'true', locked.body)
        renewed = await self.call('PUT', f'/v1/session/renew/{session_id}')
        self.assertEqual(session_id, renewed.json()[0]['ID'])
        await self.call('PUT', f'/v1/session/destroy/{session_id}')
        destroyed = await self.call('PUT', f'/v1/session/renew/{session_id}')
        self.assertEqual(404, destroyed.status)
        unknown = await self.put(b'x', f'?acquire={session_id}')
        self.assertEqual(500, unknown.status)

    async def test_misspelt_fault_is_rejected(self) -> None:
        """Guards against a misspelt fault that is ignored silently."""
        self.assertEqual(400, (await self.control(dwon=True)).status)
        self.assertEqual(400, (await self.control(down='yes')).status)
        shown = (await self.call('GET', '/control')).json()
        self.assertIs(False, shown['down'])
