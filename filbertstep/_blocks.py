"""Maps the IP addresses of clients to sites by longest prefix match.

The address blocks of all sites are flattened into disjoint ranges, which are
kept in sorted compact arrays for each address family and found by bisection.
A block inside another block splits the outer one, so that a single search
finds the longest match.
"""

import array
import bisect
import collections.abc
import socket
import typing

# Only the first 64 bits of IPv6 addresses are used.  Longer prefixes would
# double the size of the table, and networks assign /64 or shorter prefixes.
V6_PREFIX_BITS: typing.Final = 64

V4_BITS: typing.Final = 32

# Site number of addresses that are in no block.
NO_SITE: typing.Final = 0

# First 12 bytes of IPv4-mapped IPv6 addresses.
V4_MAPPED_PREFIX: typing.Final = b'\x00' * 10 + b'\xff\xff'


Block = tuple[int, int, int]
"""First address, negated last address, and site number of a block.

Such tuples sort an outer block before the blocks inside it without a key
function, which halves the time to build a table of 470,000 blocks.
"""


class AddressRanges:
    """Sorted disjoint address ranges of one address family.

    A range begins at an entry of ``starts`` and ends before the next entry.
    The entry of ``sites`` with the same index is its site number.
    """

    def __init__(self, typecode: str, site_typecode: str) -> None:
        self.starts = array.array(typecode)
        self.sites = array.array(site_typecode)
        self.last_address = (1 << (8 * self.starts.itemsize)) - 1

    def set_blocks(self, blocks: list[Block]) -> None:
        """Fill the empty arrays with the ranges of blocks.

        Two blocks are either disjoint or one contains the other.  The list is
        sorted in place.
        """
        blocks.sort()
        self.append(0, NO_SITE)
        open_blocks: list[Block] = []
        for block in blocks:
            first = block[0]
            while open_blocks and -open_blocks[-1][1] < first:
                self.end_innermost_block(open_blocks)
            self.append(first, block[2])
            open_blocks.append(block)
        while open_blocks:
            self.end_innermost_block(open_blocks)

    def end_innermost_block(self, open_blocks: list[Block]) -> None:
        """End the innermost block and continue with the enclosing one.

        ``open_blocks`` are the nested blocks that have not ended yet, the
        innermost last.
        """
        ended = open_blocks.pop()
        site = open_blocks[-1][2] if open_blocks else NO_SITE
        self.append(1 - ended[1], site)

    def append(self, start: int, site: int) -> None:
        """Append a range; an empty range before it is replaced."""
        starts, sites = self.starts, self.sites
        if start > self.last_address:
            # The block before ends at the last address.
            return
        if starts and starts[-1] == start:
            starts.pop()
            sites.pop()
        if sites and sites[-1] == site:
            return
        starts.append(start)
        sites.append(site)

    def find(self, address: int) -> int:
        """Return the site number of an address."""
        return self.sites[bisect.bisect_right(self.starts, address) - 1]

    def size_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        return sum(
            column.buffer_info()[1] * column.itemsize
            for column in (self.starts, self.sites)
        )


class BlockTable:
    """Table of all address blocks, which finds the site of an address."""

    def __init__(
        self,
        sites: collections.abc.Mapping[str, collections.abc.Iterable[str]],
    ) -> None:
        self.site_names: list[str | None] = [None, *sorted(sites)]
        # Number of blocks that are malformed or longer than /64.
        self.skipped_blocks = 0
        site_typecode = 'H' if len(self.site_names) <= 0xFFFF else 'I'
        self.v4 = AddressRanges('I', site_typecode)
        self.v6 = AddressRanges('Q', site_typecode)
        v4: list[Block] = []
        v6: list[Block] = []
        for number, name in enumerate(self.site_names):
            for text in sites[name] if name is not None else ():
                self.add_cidr(text, number, v4, v6)
        self.v4.set_blocks(v4)
        self.v6.set_blocks(v6)

    def add_cidr(
        self, text: str, site: int, v4: list[Block], v6: list[Block]
    ) -> None:
        """Append a block in CIDR form to the list of its address family."""
        host, _, length_text = text.partition('/')
        parsed = parse_address(host)
        bits = V6_PREFIX_BITS if ':' in host else V4_BITS
        length = int(length_text) if length_text.isdecimal() else bits
        if parsed is None or length > bits or (':' in host) != parsed[0]:
            self.skipped_blocks += 1
            return
        host_bits = bits - length
        first = parsed[1] >> host_bits << host_bits
        last = first | ((1 << host_bits) - 1)
        (v6 if parsed[0] else v4).append((first, -last, site))

    def find(self, address: str) -> str | None:
        """Return the site name of an address; None if it has no site."""
        parsed = parse_address(address)
        if parsed is None:
            return None
        ranges = self.v6 if parsed[0] else self.v4
        return self.site_names[ranges.find(parsed[1])]

    def size_bytes(self) -> int:
        """Return the size of all arrays in bytes."""
        return self.v4.size_bytes() + self.v6.size_bytes()


def parse_address(text: str) -> tuple[bool, int] | None:
    """Return whether an address is IPv6, and the address as a number.

    The number of an IPv6 address is that of its first 64 bits.  The result is
    None if the text is not an address.

    ``socket.inet_pton`` is several times faster than ``ipaddress``.  This
    matters when a large table is built and for each look-up.
    """
    try:
        if ':' not in text:
            packed = socket.inet_pton(socket.AF_INET, text)
            return False, int.from_bytes(packed)
        packed = socket.inet_pton(socket.AF_INET6, text)
    except (OSError, UnicodeError, ValueError):
        return None
    if packed.startswith(V4_MAPPED_PREFIX):
        return False, int.from_bytes(packed[12:])
    return True, int.from_bytes(packed[:8])
