"""Stand-ins and processes of a small deployment on loopback addresses.

The store, the servers and the clients are small asyncio programs in this
process.  The VMs are processes of the program of ``deploy/system.toml``, with
settings rendered from its template.  Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

HOST = '127.0.0.1'
PORTS = range(20000, 32000)
KEY = 'b9wu3fexd9dnn2ctnfzs'
TENANT = 'kaje80'
SERVICE = 'huvo11a'
SITE_HOST = 'ficu95.example'

# The bounds of sites/huon-burr.toml, as ``fleetbench wire`` shows them.
BOUNDS = {
    'grace_s': 6,
    'config_apply_ms': 2000,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 62,
    'quota_over': 0.1,
    'quota_slack': 20,
    'cold_over': 1.5,
    'cold_slack': 5,
    'ttl_max_s': 5,
    'shift_most': 0.15,
}

ENDS = (asyncio.IncompleteReadError, ConnectionError, OSError)
# A stand-in is also cancelled at the end of a case.
SERVING_ENDS = (*ENDS, TimeoutError, asyncio.CancelledError)


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Writes ``record.txt`` and standard output, with times from the start."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self.file = open(folder / 'record.txt', 'w', encoding='utf-8')

    def write(self, text):
        line = f'{time.monotonic() - self.began_at:8.3f} s  {text}'
        print(line, flush=True)
        print(line, file=self.file, flush=True)


def free_ports(count):
    """Return unused ports of the loopback interface.

    They are below those that the kernel gives to connections and to the
    listeners of the stand-ins.
    """
    ports = []
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError('no ports are free')


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head[:-4].decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    return lines[0], [
        (name.lower(), value.strip()) for name, _, value in pairs
    ]


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    fields = dict(headers)
    if 'chunked' not in fields.get('transfer-encoding', ''):
        return await reader.readexactly(int(fields.get('content-length', 0)))
    body = b''
    while size := int((await reader.readline()).partition(b';')[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    line, headers = await read_head(reader)
    return (
        int(line.split(' ')[1]),
        dict(headers),
        await read_body(reader, headers),
    )


def request(method, path, request_id, body=None, deadline_ms=4000):
    """Return the bytes of a request; its object is its own."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {SITE_HOST}',
        f'X-Request-Id: {request_id}',
        f'Cookie: X-Affinity-Key={request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
    ]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + (body or b'')


def answer(request_id, body, status='200 OK'):
    """Return the bytes of a server's answer."""
    head = (
        f'HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n'
        f'X-Server-Seal: seal.{request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 10
        # Lifetime in seconds, end and keys, by id.
        self.leases, self.last_lease = {}, 100
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        self.tasks = [server, asyncio.ensure_future(self.expire_leases())]

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        if lease:
            self.leases[lease][2].add(key)
        self.notify(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            event = {'key': key, 'revision': self.revision, 'deleted': True}
            self.notify(event)

    def end_lease(self, lease):
        for key in self.leases.pop(lease)[2]:
            if self.items.get(key, {}).get('lease') == lease:
                self.delete(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, ends_at, _) in list(self.leases.items()):
                if ends_at < time.monotonic():
                    self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, document = await self.handle(
                    url.path.removeprefix('/filbertstep/'), query, body
                )
                text = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} Status\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(text)}\r\n\r\n'.encode()
                    + text
                )
                await writer.drain()
        except SERVING_ENDS:
            pass
        finally:
            writer.close()

    async def handle(self, call, query, body):
        name, _, argument = call.partition('/')
        if name == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if name == 'kv-watch':
            return 200, await self.watch(query)
        if name == 'kv-txn':
            return self.commit(json.loads(body))
        if name == 'kv-lease':
            lifetime_s = json.loads(body)['ttl_ms'] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = [
                lifetime_s,
                time.monotonic() + lifetime_s,
                set(),
            ]
            ttl_ms = int(lifetime_s * 1000)
            return 200, {'lease': self.last_lease, 'ttl_ms': ttl_ms}
        lease = int(argument or 0)
        if lease not in self.leases:
            return 404, {}
        if name == 'kv-keep':
            held = self.leases[lease]
            held[1] = time.monotonic() + held[0]
            return 200, {'ttl_ms': int(held[0] * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query.get('prefix', ''))
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def commit(self, transaction):
        for row in transaction.get('expect_rev', []):
            found = self.items.get(row['key'], {}).get('revision', 0)
            if found != row['revision']:
                return 412, {'items': []}
        writes = transaction.get('writes', [])
        if any(row['lease'] not in {0, *self.leases} for row in writes):
            return 404, {}
        for row in writes:
            self.put(row['key'], base64.b64decode(row['value']), row['lease'])
        for key in transaction.get('deletes', []):
            self.delete(key)
        return 200, {'revision': self.revision}


class Server:
    """An upstream; ``work`` writes the answer to a request that it runs.

    ``runs`` has the first line and the body of each request by its id.
    """

    def __init__(self, deployment, number, slots, work):
        self.deployment, self.slots, self.work = deployment, slots, work
        self.server_id = f'i-{number:08x}'
        self.runs = []

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.listener = server
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        entry = {
            'address': self.address,
            'info': {
                'service': SERVICE,
                'version': 'v1',
                'zone': 'hobart-a',
                'slots': self.slots,
            },
            'status': {'state': 'ready', 'seq_no': 1, 'cold_left_ms': 0},
            'born': int(time.time() * 1000),
        }
        self.deployment.store.put(
            f'servers/{self.server_id}', json.dumps(entry).encode()
        )

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                fields = dict(headers)
                instance = f'X-Instance-Id: {self.server_id}\r\n'.encode()
                if line.startswith('GET /health '):
                    writer.write(
                        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                        + instance
                        + b'\r\n'
                    )
                elif fields.get('x-expect-instance') != self.server_id:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\n'
                        b'Content-Length: 0\r\n' + instance + b'\r\n'
                    )
                else:
                    request_id = fields['x-request-id']
                    self.runs.append((request_id, line, body))
                    await self.work(request_id, writer)
                await writer.drain()
        except SERVING_ENDS:
            pass
        finally:
            writer.close()


class Vm:
    """A VM with the program of the deploy file."""

    def __init__(self, deployment, name, memory_mb):
        self.deployment, self.name = deployment, name
        self.memory_mb = memory_mb
        ports = free_ports(5)
        self.ports = dict(
            zip(
                ('front', 'ready', 'control', 'directory'), ports, strict=False
            )
        )
        self.metrics_port = ports[4]
        self.settings_path = deployment.folder / f'{name}.json5'
        self.starts = 0
        self.process = None

    def render_settings(self):
        fields = {
            'node_name': self.name,
            'ip': HOST,
            'zone': 'hobart-a',
            'region': 'hobart',
            'port_range.1': self.metrics_port,
            'seeds': [f'{HOST}:{self.ports["control"]}'],
            'zones': {'hobart-a': 'hobart'},
            'platform.address': self.deployment.store.address,
            'platform.ttl_min_ms': 1000,
            'bootstrap': self.starts == 0,
            'limits.memory_mb': self.memory_mb,
        }
        for name, port in self.ports.items():
            fields[f'listen.{name}'] = f'{HOST}:{port}'
        for name, value in BOUNDS.items():
            fields[f'bounds.{name}'] = value
        template = (ROOT / 'deploy/settings.json5').read_text()
        return re.sub(
            r'\{\{([^|}]+)\|json\}\}',
            lambda match: json.dumps(fields[match[1]]),
            template,
        )

    async def start(self):
        """Start the process; it need not be ready yet."""
        self.settings_path.write_text(self.render_settings())
        self.starts += 1
        deploy = (ROOT / 'deploy/system.toml').read_text()
        command = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1]
        with open(self.deployment.folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command.split(' '),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'FILBERTSTEP_NODE_FILE': str(self.settings_path),
                },
            )

    async def is_ready(self):
        """Return whether the VM answers the platform's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ports['ready']
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /filbertstep/ready HTTP/1.1\r\nHost: vm\r\n\r\n'
            )
            return b' 200 ' in await asyncio.wait_for(reader.readline(), 1.0)
        except (*ENDS, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, within_s=20.0):
        ends_at = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRunError(f'{self.name} did not become ready')
            await asyncio.sleep(0.1)

    def send_signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def resident_mb(self):
        """Return the memory of the process in MB, 0 after its end."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20

    async def connect(self, **options):
        return await asyncio.open_connection(
            HOST, self.ports['front'], **options
        )

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A store, servers of one service, and VMs.

    Requests below ``/once/`` are non-idempotent, those below ``/many/``
    idempotent.  ``timeout_ms`` is that of both routes.
    """

    def __init__(self, timeout_ms=2000, memory_mb=300, server_type=Server):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.timeout_ms = timeout_ms
        self.server_type = server_type
        self.store = Store()
        self.servers = []
        self.vm = Vm(self, 'front-hobart-a-1', memory_mb)

    def configuration(self):
        rules = [
            {
                'name': name,
                'kind': kind,
                'target_latency_ms': 1000,
                'priority': 1,
                'public': False,
                'sticky': True,
                'match': {'prefix': f'/{name}/'},
                'action': {
                    'service': SERVICE,
                    'timeout_ms': self.timeout_ms,
                    'attempts': 2,
                    'home_regions': [],
                },
            }
            for name, kind in (
                ('once', 'non_idempotent'),
                ('many', 'idempotent'),
            )
        ]
        return {
            'version': 'r7',
            'limits': {
                'header_bytes': 16384,
                'body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'tenants': [
                {
                    'name': TENANT,
                    'api_keys': [KEY],
                    'priority': 1,
                    'rate_per_s': 0,
                    'burst': 0,
                    'home_regions': [],
                }
            ],
            'listeners': [{'host': SITE_HOST, 'rules': rules}],
            'clusters': [
                {
                    'name': SERVICE,
                    'health_path': '/health',
                    'max_conns': 390,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_start_s': 3.0,
                    'cold_per_s': 2.7,
                }
            ],
        }

    async def start(self, servers, slots, work):
        """Start the stand-ins, then the VM."""
        await self.store.start()
        self.store.put('op/config', json.dumps(self.configuration()).encode())
        for number in range(servers):
            server = self.server_type(self, number, slots, work)
            await server.start()
            self.servers.append(server)
        await self.vm.start()
        await self.vm.wait_ready()

    def runs(self):
        """Return what all servers ran: request id, first line and body."""
        return [run for server in self.servers for run in server.runs]

    async def stop(self):
        await self.vm.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, deployment):
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    ``case`` takes the deployment, the record and whether to disturb; it
    returns whether the rule held.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.write(f'disruption: {"yes" if trouble else "no"}')

    async def run():
        try:
            async with asyncio.timeout(100):
                return await case(deployment, record, trouble)
        finally:
            await deployment.stop()

    former_handler = signal.getsignal(signal.SIGTERM)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f'the case could not run: {error!r}')
        sys.exit(2)
    finally:
        signal.signal(signal.SIGTERM, former_handler)
    record.write('the rule held' if held else 'THE RULE WAS BROKEN')
    sys.exit(0 if held else 1)
