"""Implementation of the entry program's platform interface."""

import collections.abc
import re
import typing

import aiohttp
import result

from filbertstep import entry
from filbertstep.platform import _documents
from filbertstep.platform import _settings
from filbertstep.platform import _store

# A server that a request was not meant for answers with this status.  The
# answer says nothing about the expected server.
MISDIRECTED_STATUS: typing.Final = 421

# Value of the header with which a server announces that it is leaving.
LEAVING_VALUE: typing.Final = '1'

# Status with which a server turns requests away.
OVERLOADED_STATUS: typing.Final = 503

SECONDS_REGEX: typing.Final = re.compile(r'[0-9]+(\.[0-9]+)?')


class PlatformWireFormat(entry.WireFormat):
    """Header names, paths and look-up format of the platform."""

    lookup_path = '/filbertstep/resolve'
    ready_path = '/filbertstep/ready'
    request_id_header = 'X-Request-Id'
    deadline_header = 'X-Deadline-Ms'
    key_header = 'Authorization'
    key_scheme = 'Bearer'
    account_header = 'X-Tenant'
    expected_server_header = 'X-Expect-Instance'
    not_run_header = 'X-Not-Executed'
    load_header = 'X-Server-Load'
    retry_after_header = 'Retry-After'
    affinity_cookie = 'X-Affinity-Key'
    leaving_header = 'Server-Leaving'

    def parse_lookup(
        self, query: collections.abc.Mapping[str, str]
    ) -> entry.LookupQuery | None:
        """Return the query of a look-up, None if a parameter is missing."""
        region, zone = query.get('region', ''), query.get('zone', '')
        if not region or not zone:
            return None
        return entry.LookupQuery(region=region, availability_zone=zone)

    def format_lookup_answer(
        self, addresses: collections.abc.Sequence[str], ttl_s: float
    ) -> dict[str, object]:
        """Return the JSON body of a look-up's answer."""
        return {'addresses': list(addresses), 'ttl_s': ttl_s}

    def parse_server_notice(
        self,
        status: int,
        headers: collections.abc.Iterable[tuple[str, str]],
    ) -> entry.ServerNotice:
        """Return what an answer says about the server that sent it."""
        if status == MISDIRECTED_STATUS:
            return entry.ServerNotice()
        notice = entry.ServerNotice()
        for name, value in headers:
            if name.lower() == self.leaving_header.lower():
                leaving = value.strip() == LEAVING_VALUE
                notice = notice._replace(leaving=notice.leaving or leaving)
            elif (
                status == OVERLOADED_STATUS
                and name.lower() == self.retry_after_header.lower()
            ):
                pause_s = max(notice.pause_s, parse_seconds(value))
                notice = notice._replace(pause_s=pause_s)
        return notice


def parse_seconds(text: str) -> float:
    """Return a number of seconds, 0 if the text is anything else.

    A date of HTTP is not a number of seconds, nor is a negative number.
    """
    stripped = text.strip()
    if SECONDS_REGEX.fullmatch(stripped) is None:
        return 0.0
    return float(stripped)


class PlatformAdapter(entry.Platform):
    """Settings, store client, decoder and wire format of the platform."""

    def __init__(self, settings_path: str) -> None:
        self.settings_path = settings_path

    def load_settings(self) -> result.Result[entry.EntrySettings, str]:
        """Read and validate the current settings file."""
        return _settings.load_settings(self.settings_path)

    def open_store(self, settings: entry.EntrySettings) -> entry.StoreClient:
        """Return a store client; requires a running event loop."""
        return _store.PlatformStoreClient(
            f'http://{settings.store_address}',
            aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                connector=aiohttp.TCPConnector(keepalive_timeout=30.0),
            ),
            settings.min_lease_s,
        )

    def decoder(self) -> entry.Decoder:
        """Return a decoder for the documents in the store."""
        return _documents.PlatformDecoder()

    def wire_format(self) -> entry.WireFormat:
        """Return the header names, paths and look-up format."""
        return PlatformWireFormat()
