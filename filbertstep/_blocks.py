"""Which site an address of a client belongs to.

The blocks of all sites are flattened into disjoint segments in sorted compact
arrays, one pair for each address family, and searched by bisection.  A block
inside another one cuts it in two, so that the longest match wins without a
second search.
"""

import array
import bisect
import collections.abc
import socket
import typing

# Bits of an IPv6 address that are looked at.  Longer blocks would double the
# size of the table; networks hand out /64 and shorter.
V6_BITS: typing.Final = 64

V4_BITS: typing.Final = 32

# Marks addresses between blocks.
NO_SITE: typing.Final = 0

# First 12 bytes of IPv4 addresses that are written as IPv6 ones.
V4_MAPPED: typing.Final = b'\x00' * 10 + b'\xff\xff'


Block = tuple[int, int, int]
"""First address, negative last address, site number.

Plain tuples in this form sort outer blocks before those inside them without a
key function, which halves the time to build a table of 470,000 blocks.
"""


class Segments:
    """Disjoint ranges of one address family.

    Each entry of ``starts`` begins a range that belongs to the entry of
    ``sites`` at the same place.
    """

    def __init__(self, typecode: str, site_typecode: str) -> None:
        self.starts = array.array(typecode)
        self.sites = array.array(site_typecode)
        self.last = (1 << (8 * self.starts.itemsize)) - 1

    def fill(self, blocks: list[Block]) -> None:
        """Flatten blocks, which nest or are disjoint but never overlap."""
        blocks.sort()
        self.append(0, NO_SITE)
        around: list[Block] = []
        for block in blocks:
            first = block[0]
            while around and -around[-1][1] < first:
                self.leave(around)
            self.append(first, block[2])
            around.append(block)
        while around:
            self.leave(around)

    def leave(self, around: list[Block]) -> None:
        """End the innermost block; the one around it goes on."""
        over = around.pop()
        site = around[-1][2] if around else NO_SITE
        self.append(1 - over[1], site)

    def append(self, start: int, site: int) -> None:
        """Begin a segment, which replaces an empty one before it."""
        starts, sites = self.starts, self.sites
        if start > self.last:
            # The block reaches the last address.
            return
        if starts and starts[-1] == start:
            starts.pop()
            sites.pop()
        if sites and sites[-1] == site:
            return
        starts.append(start)
        sites.append(site)

    def find(self, address: int) -> int:
        """Return the number of the site of an address."""
        return self.sites[bisect.bisect_right(self.starts, address) - 1]

    def size(self) -> int:
        """Return the bytes of the arrays."""
        return sum(
            column.buffer_info()[1] * column.itemsize
            for column in (self.starts, self.sites)
        )


class BlockTable:
    """Site names by address, for IPv4 and IPv6."""

    def __init__(
        self,
        sites: collections.abc.Mapping[str, collections.abc.Iterable[str]],
    ) -> None:
        self.names: list[str | None] = [None, *sorted(sites)]
        # Blocks that are malformed or longer than /64.
        self.skipped = 0
        site_typecode = 'H' if len(self.names) <= 0xFFFF else 'I'
        self.v4 = Segments('I', site_typecode)
        self.v6 = Segments('Q', site_typecode)
        v4: list[Block] = []
        v6: list[Block] = []
        for number, name in enumerate(self.names):
            for text in sites[name] if name is not None else ():
                self.add(text, number, v4, v6)
        self.v4.fill(v4)
        self.v6.fill(v6)

    def add(
        self, text: str, site: int, v4: list[Block], v6: list[Block]
    ) -> None:
        """Add one block in CIDR form to its family's list."""
        host, _, length_text = text.partition('/')
        parsed = parse_address(host)
        bits = V6_BITS if ':' in host else V4_BITS
        length = int(length_text) if length_text.isdecimal() else bits
        if parsed is None or length > bits or (':' in host) != parsed[0]:
            self.skipped += 1
            return
        host_bits = bits - length
        first = parsed[1] >> host_bits << host_bits
        last = first | ((1 << host_bits) - 1)
        (v6 if parsed[0] else v4).append((first, -last, site))

    def find(self, address: str) -> str | None:
        """Return the site of an address, or None."""
        parsed = parse_address(address)
        if parsed is None:
            return None
        segments = self.v6 if parsed[0] else self.v4
        return self.names[segments.find(parsed[1])]

    def size(self) -> int:
        """Return the bytes of all arrays."""
        return self.v4.size() + self.v6.size()


def parse_address(text: str) -> tuple[bool, int] | None:
    """Return whether an address is IPv6, and its leading bits.

    ``socket.inet_pton`` is several times faster than ``ipaddress``, which
    matters when a large table is built and at each look-up.
    """
    try:
        if ':' not in text:
            packed = socket.inet_pton(socket.AF_INET, text)
            return False, int.from_bytes(packed)
        packed = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, UnicodeError, ValueError):
        return None
    if packed.startswith(V4_MAPPED):
        return False, int.from_bytes(packed[12:])
    return True, int.from_bytes(packed[:8])
