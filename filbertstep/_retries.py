"""Retry budget: limits retries to a tenth of the requests of a service.

Without a limit, retries would multiply the load just when servers fail
because of overload.
"""

import typing

# Each request adds this many retries to the budget of its service.
RETRIES_PER_REQUEST: typing.Final = 0.1

# Unspent retries of a service are limited to this, to bound bursts of retries.
MAX_SAVED_RETRIES: typing.Final = 20.0


class RetryBudget:
    """Token buckets by service: a request adds 0.1 token, a retry takes 1."""

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Add the tokens of a request at its first attempt."""
        tokens = self.tokens.get(service, 0.0) + RETRIES_PER_REQUEST
        self.tokens[service] = min(MAX_SAVED_RETRIES, tokens)

    def try_spend(self, service: str) -> bool:
        """Take the token of one retry; return False if there is none."""
        tokens = self.tokens.get(service, 0.0)
        # Adding 0.1 ten times gives slightly less than 1 in floating point.
        if tokens < 1.0 - 1e-9:
            return False
        self.tokens[service] = max(0.0, tokens - 1.0)
        return True

    def retain_services(self, services: typing.AbstractSet[str]) -> None:
        """Drop the budgets of services that were removed."""
        for name in self.tokens.keys() - services:
            del self.tokens[name]
