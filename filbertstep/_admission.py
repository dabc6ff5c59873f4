"""Admission of requests: finds the service, the client account and deadline.

Callers of this module must keep two rules: ``Admission.admit`` is called only
while this VM's configuration is confirmed as fresh, because it decides about
accounts; and the body of a request is read only after it was admitted.
"""

import collections.abc
import hashlib
import typing

import result

from filbertstep import config
from filbertstep import delivery
from filbertstep import errors

# Account name of requests to open services, in metrics and records.  Names of
# client accounts cannot contain parentheses.  A client account of this name
# would have no rate limit, and everyone could ask for its outcomes.
OPEN_ACCOUNT: typing.Final = '(open)'

# Weights in fair queueing are rates, in requests per second.
OPEN_ACCOUNT_WEIGHT: typing.Final = 1.0


class RawRequest(typing.NamedTuple):
    """A request as received; ``path`` and ``query`` are percent-encoded."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class AdmittedRequest(typing.NamedTuple):
    """A request that an account may send; its rate limit is not checked yet.

    ``deadline`` is a time of this VM's clock, in seconds.  ``at_most_once`` is
    set for requests that must not run twice because their method is not
    idempotent.
    """

    raw: RawRequest
    service: config.Service
    account: str
    weight: float
    credentials: delivery.Credentials
    deadline: float
    at_most_once: bool


class RouteTable:
    """Finds services by path prefix; the longest matching prefix wins."""

    def __init__(self) -> None:
        self.view: config.View | None = None
        self.services: dict[str, config.Service] = {}

    def find_service(
        self, view: config.View, path: str
    ) -> config.Service | None:
        """Return the service for a path; prefixes match whole segments."""
        if view is not self.view:
            self.view = view
            self.services = {
                service.path_prefix: service
                for service in view.config.services.values()
            }
        prefix = path
        while prefix:
            service = self.services.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition('/')[0]
        return None


def error_result(
    kind: errors.ErrorKind, message: str, retry_after_s: float | None = None
) -> result.Err[errors.Failure]:
    """Return a ``Failure`` wrapped in ``Err``."""
    return result.Err(errors.Failure(kind, message, retry_after_s))


def parse_deadline_ms(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> result.Result[int | None, errors.Failure]:
    """Return the value of the ``X-Deadline-Ms`` header, None without it.

    Returns a ``BAD_REQUEST`` failure if the value is invalid.
    """
    for name, value in headers:
        if name.lower() == 'x-deadline-ms':
            if not value.isdecimal() or not 0 < int(value[:9]) < 10**8:
                return error_result(
                    errors.ErrorKind.BAD_REQUEST,
                    'X-Deadline-Ms must be a positive number of milliseconds',
                )
            return result.Ok(int(value[:9]))
    return result.Ok(None)


class Admission:
    """Checks requests against all configuration views that are in force."""

    def __init__(self, views: config.ViewTable) -> None:
        self.views = views
        self.routes = RouteTable()

    def admit(
        self, raw: RawRequest, now: float
    ) -> result.Result[AdmittedRequest, errors.Failure]:
        """Check a request; the configuration must be confirmed as fresh.

        Failures: ``NOT_FOUND``, ``BAD_REQUEST``, ``UNAUTHORIZED``,
        ``FORBIDDEN``.
        """
        view = self.views.newest
        service = (
            None if view is None else self.routes.find_service(view, raw.path)
        )
        if service is None:
            return error_result(
                errors.ErrorKind.NOT_FOUND, 'no service has this path'
            )
        credentials = delivery.extract_key(raw.headers)
        if isinstance(credentials, result.Err):
            return credentials
        account = self.authorize(service, credentials.ok_value, now)
        if isinstance(account, result.Err):
            return account
        deadline_ms = parse_deadline_ms(raw.headers)
        if isinstance(deadline_ms, result.Err):
            return deadline_ms
        requested_ms = deadline_ms.ok_value
        timeout_s = service.deadline_s
        if requested_ms is not None:
            timeout_s = min(timeout_s, requested_ms / 1000)
        return result.Ok(
            AdmittedRequest(
                raw=raw,
                service=service,
                account=account.ok_value,
                weight=self.account_weight(account.ok_value, now),
                credentials=credentials.ok_value,
                deadline=now + timeout_s,
                at_most_once=raw.method not in service.idempotent_methods,
            )
        )

    def authorize(
        self,
        service: config.Service,
        credentials: delivery.Credentials,
        now: float,
    ) -> result.Result[str, errors.Failure]:
        """Return the account of a request if it may use the service."""
        if service.open:
            return result.Ok(OPEN_ACCOUNT)
        if credentials.digest is None:
            return error_result(
                errors.ErrorKind.UNAUTHORIZED, 'a key is required'
            )
        name = self.views.key_account(credentials.digest, now)
        if name is None:
            return error_result(
                errors.ErrorKind.UNAUTHORIZED, 'the key is not in force'
            )
        if not self.views.account_may_use(name, service.name, now):
            return error_result(
                errors.ErrorKind.FORBIDDEN,
                'the client account may not use this service',
            )
        return result.Ok(name)

    def account_weight(self, account: str, now: float) -> float:
        """Return an account's weight in fair queueing: its rate."""
        limits = self.views.account_limits(account, now)
        return OPEN_ACCOUNT_WEIGHT if limits is None else limits[0]

    def is_still_authorized(
        self, admitted: AdmittedRequest, now: float
    ) -> bool:
        """Return whether the request would still get the same account.

        Its key may have been withdrawn since the request was admitted.
        """
        account = self.authorize(admitted.service, admitted.credentials, now)
        return account == result.Ok(admitted.account)


def request_digest(raw: RawRequest, body: bytes) -> str:
    """Return a digest that detects different requests under one id."""
    digest = hashlib.sha256()
    for part in (raw.method, raw.path, raw.query):
        digest.update(part.encode(errors='surrogateescape') + b'\0')
    digest.update(body)
    return digest.hexdigest()
