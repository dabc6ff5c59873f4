"""The retry budget: retries are a tenth of the requests at most.

Without a limit, retries multiply the load exactly when servers fail because
of load.
"""

import typing

# Share of a service's requests that may be retried.
RETRY_SHARE: typing.Final = 0.1

# Most retries that a quiet time can save up.
RETRY_BURST: typing.Final = 20.0


class RetryBudget:
    """Tokens by service: a request adds a tenth, a retry takes one."""

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Count a first attempt."""
        tokens = self.tokens.get(service, 0.0) + RETRY_SHARE
        self.tokens[service] = min(RETRY_BURST, tokens)

    def try_spend(self, service: str) -> bool:
        """Take one retry from the budget if it has one."""
        tokens = self.tokens.get(service, 0.0)
        # Ten tenths add up to slightly less than 1 in binary fractions.
        if tokens < 1.0 - 1e-9:
            return False
        self.tokens[service] = max(0.0, tokens - 1.0)
        return True

    def retain_services(self, services: typing.AbstractSet[str]) -> None:
        """Forget services that are gone."""
        for name in self.tokens.keys() - services:
            del self.tokens[name]
