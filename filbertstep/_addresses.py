"""Network addresses that other programs name, as ``host:port``."""

import ipaddress
import re
import typing

MAX_PORT: typing.Final = 65535

MAX_HOST_CHARACTERS: typing.Final = 253

ADDRESS_REGEX: typing.Final = re.compile(
    r'(?P<host>[^:]+|\[[0-9A-Fa-f:.]+\]):(?P<port>[0-9]{1,5})'
)

# A name whose last label is numeric counts as an IPv4 address (RFC 3986).
NUMERIC_LABEL_REGEX: typing.Final = re.compile(r'(.*\.)?[0-9]+')

HOST_LABEL_REGEX: typing.Final = re.compile(
    r'[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9])?'
)


def is_address(text: str) -> bool:
    """Return whether a text is an address to which a client can connect.

    The host is an IPv4 address, an IPv6 address in brackets, or a name; the
    port is from 1 to 65535.
    """
    match = ADDRESS_REGEX.fullmatch(text)
    return (
        match is not None
        and is_host(match['host'])
        and 0 < int(match['port']) <= MAX_PORT
    )


def is_host(host: str) -> bool:
    """Return whether a text is an IP address or an ASCII host name."""
    if host.startswith('['):
        return is_ip_address(host[1:-1], ipaddress.IPv6Address)
    if NUMERIC_LABEL_REGEX.fullmatch(host):
        return is_ip_address(host, ipaddress.IPv4Address)
    return len(host) <= MAX_HOST_CHARACTERS and all(
        HOST_LABEL_REGEX.fullmatch(label) for label in host.split('.')
    )


def is_ip_address(
    text: str,
    address_type: type[ipaddress.IPv4Address] | type[ipaddress.IPv6Address],
) -> bool:
    """Return whether a text is an IP address of one version."""
    try:
        address_type(text)
    except ValueError:
        return False
    return True
