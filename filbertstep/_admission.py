"""Admission: which service a request is for, and for which client account.

The steps run in a fixed order and each can refuse the request.  The order
matters: nothing about an account is decided before the evidence is fresh, and
the body is read only for a caller that may use the service.
"""

import collections.abc
import hashlib
import typing

import result

from filbertstep import config
from filbertstep import delivery
from filbertstep import errors

# Account name in metrics and records of requests on services open to all.  No
# client account can have it, because names hold no brackets: such an account
# would have no rate, and everyone could ask for its outcomes.
OPEN_ACCOUNT: typing.Final = '(open)'

# Weight of the open account in fair queueing, requests a second.
OPEN_WEIGHT: typing.Final = 1.0


class RawRequest(typing.NamedTuple):
    """A request as it came; ``path`` and ``query`` are still encoded."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]


class Admitted(typing.NamedTuple):
    """A request that an account may send; its rate is not checked yet.

    ``deadline`` is a time of this VM's clock.  ``tracked`` requests run at
    most once.
    """

    raw: RawRequest
    service: config.Service
    account: str
    weight: float
    credentials: delivery.Credentials
    deadline: float
    tracked: bool


class RouteTable:
    """Services of one view by path prefix, the longest prefix first."""

    def __init__(self) -> None:
        self.view: config.View | None = None
        self.services: dict[str, config.Service] = {}

    def find(self, view: config.View, path: str) -> config.Service | None:
        """Return the service of a path; prefixes match whole segments."""
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


def fail(
    kind: errors.ErrorKind, message: str, retry_after_s: float | None = None
) -> result.Err[errors.Failure]:
    """Return a failure as a result."""
    return result.Err(errors.Failure(kind, message, retry_after_s))


def read_deadline_ms(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> result.Result[int | None, errors.Failure]:
    """Return the caller's deadline in milliseconds, None without one."""
    for name, value in headers:
        if name.lower() == 'x-deadline-ms':
            if not value.isdecimal() or not 0 < int(value[:9]) < 10**8:
                return fail(
                    errors.ErrorKind.BAD_REQUEST,
                    'X-Deadline-Ms must be a positive number of milliseconds',
                )
            return result.Ok(int(value[:9]))
    return result.Ok(None)


class Admission:
    """Checks requests against the views in force."""

    def __init__(self, views: config.ViewTable) -> None:
        self.views = views
        self.routes = RouteTable()

    def admit(
        self, raw: RawRequest, now: float
    ) -> result.Result[Admitted, errors.Failure]:
        """Return what a request may use; the evidence must be fresh."""
        view = self.views.newest
        service = None if view is None else self.routes.find(view, raw.path)
        if service is None:
            return fail(errors.ErrorKind.NOT_FOUND, 'no service has this path')
        credentials = delivery.extract_key(raw.headers)
        if isinstance(credentials, result.Err):
            return credentials
        account = self.account(service, credentials.ok_value, now)
        if isinstance(account, result.Err):
            return account
        deadline_ms = read_deadline_ms(raw.headers)
        if isinstance(deadline_ms, result.Err):
            return deadline_ms
        wanted = deadline_ms.ok_value
        time_s = service.deadline_s
        if wanted is not None:
            time_s = min(time_s, wanted / 1000)
        return result.Ok(
            Admitted(
                raw=raw,
                service=service,
                account=account.ok_value,
                weight=self.weight(account.ok_value, now),
                credentials=credentials.ok_value,
                deadline=now + time_s,
                tracked=raw.method not in service.idempotent_methods,
            )
        )

    def account(
        self,
        service: config.Service,
        credentials: delivery.Credentials,
        now: float,
    ) -> result.Result[str, errors.Failure]:
        """Return the account that a request runs for."""
        if service.open:
            return result.Ok(OPEN_ACCOUNT)
        if credentials.digest is None:
            return fail(errors.ErrorKind.UNAUTHORIZED, 'a key is required')
        name = self.views.key_account(credentials.digest, now)
        if name is None:
            return fail(
                errors.ErrorKind.UNAUTHORIZED, 'the key is not in force'
            )
        if not self.views.account_may_use(name, service.name, now):
            return fail(
                errors.ErrorKind.FORBIDDEN,
                'the client account may not use this service',
            )
        return result.Ok(name)

    def weight(self, account: str, now: float) -> float:
        """Return an account's weight in fair queueing."""
        limits = self.views.account_limits(account, now)
        return OPEN_WEIGHT if limits is None else limits[0]

    def still_allowed(self, admitted: Admitted, now: float) -> bool:
        """Tell whether the key of an admitted request still has its account.

        Between admission and the send a key may be withdrawn.
        """
        account = self.account(admitted.service, admitted.credentials, now)
        return account == result.Ok(admitted.account)


def request_digest(raw: RawRequest, body: bytes) -> str:
    """Return a digest that tells two requests under one id apart."""
    digest = hashlib.sha256()
    for part in (raw.method, raw.path, raw.query):
        digest.update(part.encode(errors='surrogateescape') + b'\0')
    digest.update(body)
    return digest.hexdigest()
