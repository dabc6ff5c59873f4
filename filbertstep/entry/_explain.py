"""Explains where a request would go from this VM now, without sending it.

The decision is made by the code that makes all decisions, on a copy of the
tables that it changes.  So the explanation cannot differ from the decision,
and nothing of this VM changes: no token is taken, no slot reserved, no
sequence moved on, nothing counted or logged.
"""

import collections.abc
import copy
import re
import typing

import msgspec
import result

from filbertstep import clock
from filbertstep import codec
from filbertstep import errors
from filbertstep import metrics
from filbertstep import steering
from filbertstep.entry import _messages
from filbertstep.entry import _requests
from filbertstep.entry import _state

EXPLAIN_PATH: typing.Final = '/explain'

# A question is a few names and a path, which may be as long as the head of a
# request.
MAX_QUESTION_BYTES: typing.Final = 64 * 1024

DEFAULT_METHOD: typing.Final = 'GET'

METHOD_REGEX: typing.Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

# Compares servers again if a wait ends at once because all servers asked for a
# pause.  The next comparison finds servers of other regions, or none.
MAX_COMPARISONS: typing.Final = 3

SECONDS_DIGITS: typing.Final = 4

Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=1000)]


class QuestionDoc(typing.TypedDict):
    """The request that is asked about.

    ``account`` is the name of a client account, absent for a request without
    a key.  ``priority`` replaces the priority that would apply.  ``affinity``
    identifies the object, ``zone`` the availability zone of the caller.
    """

    host: str
    path: str
    method: typing.NotRequired[str]
    account: typing.NotRequired[str]
    priority: typing.NotRequired[Priority]
    deadline_ms: typing.NotRequired[Milliseconds]
    affinity: typing.NotRequired[str]
    zone: typing.NotRequired[str]


class VmDoc(typing.TypedDict):
    """The VM that explains, and the age in seconds of what it knows.

    ``version`` is that of the configuration, None without one.
    """

    name: str
    zone: str
    region: str
    phase: str
    version: int | None
    age_s: float | None


class LookupDoc(typing.TypedDict):
    """What a caller of a zone learns: the VMs, and whether this one is one."""

    zone: str
    region: str
    names_this_vm: bool
    vms: list[str]


class RouteDoc(typing.TypedDict):
    """The route that matches."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    public: bool
    sticky: bool
    priority: int
    target_s: float
    timeout_s: float
    home_regions: list[str]


class AccountDoc(typing.TypedDict):
    """The client account, without its keys."""

    name: str
    priority: int | None
    rate_per_s: float
    home_regions: list[str]


class DestinationDoc(typing.TypedDict):
    """A part of a route's split over services."""

    service: str
    weight: float
    chosen: bool


class RegionDoc(typing.TypedDict):
    """The region that the split of the service chose, and the parts of all.

    ``region`` is None for requests that are limited to home regions.
    """

    region: str | None
    remote_share: float
    shares: dict[str, float]
    allowed: list[str] | None


class ReplyDoc(typing.TypedDict):
    """A reply of this system to the caller."""

    status: int
    kind: str
    message: str
    retry_after_s: float | None


class TokenDoc(typing.TypedDict):
    """Whether this VM has a rate token.

    Without one, peers are asked; ``refusal`` is what the caller gets if they
    give none.
    """

    needed: bool
    available: bool
    refusal: ReplyDoc | None


class CandidateDoc(typing.TypedDict):
    """A server that is compared; times are in seconds."""

    server: str
    zone: str
    region: str
    rank: int
    estimate_s: float
    slot_wait_s: float
    run_s: float
    cached: bool
    can_send_now: bool


class ExcludedDoc(typing.TypedDict):
    """A server that is not compared, and for how long if that is known."""

    server: str
    zone: str
    region: str
    reason: str
    left_s: float | None


class ComparisonDoc(typing.TypedDict):
    """Servers of one region, or of all that the request may use.

    The most preferred candidate is first.  ``preferred_for`` tells why.
    """

    region: str | None
    preferred_for: str | None
    candidates: list[CandidateDoc]
    excluded: list[ExcludedDoc]


class WaitDoc(typing.TypedDict):
    """The wait for a slot.

    ``order`` is that of the queue, ``ahead`` the number of requests in it that
    come before this one.  ``expected_s`` is the estimate for the best server
    and ``limit_s`` the longest wait.
    """

    order: str
    ahead: int
    waiting: int
    slots: float | None
    expected_s: float
    limit_s: float


class ReportDoc(typing.TypedDict):
    """Explanation of a decision.

    ``outcome`` is 'send', 'wait', 'reject', or 'ask_peers' for a token;
    ``outcome_with_token`` is what follows once there is a token.  ``server``
    is the one that the request would be sent to.
    """

    vm: VmDoc
    question: QuestionDoc
    outcome: str
    outcome_with_token: str
    server: str | None
    reply: ReplyDoc | None
    wait: WaitDoc | None
    lookup: LookupDoc | None
    route: RouteDoc | None
    account: AccountDoc | None
    priority: int | None
    time_left_s: float
    destinations: list[DestinationDoc]
    region: RegionDoc | None
    token: TokenDoc | None
    comparisons: list[ComparisonDoc]


class FrozenClock(clock.Clock):
    """A clock that stands still, so that all steps decide at one time."""

    def __init__(self, now: float) -> None:
        self.time = now

    def now(self) -> float:
        """Return the time of the decision."""
        return self.time


class Decider(_requests.RequestHandler):
    """Makes the decisions about a request, and neither sends nor counts."""

    def __init__(self, state: _state.State) -> None:
        # The parts that send, count and ask peers are left out.
        self.state = state
        self.clock = state.clock
        self.stop_refusals = 0

    def record_rejection(self, admitted: _messages.Admitted) -> None:
        """Count nothing."""


class Decision(typing.NamedTuple):
    """What becomes of an admitted request that has its token.

    Either ``candidate``, ``reply`` or ``begun`` is set.
    """

    candidate: steering.Candidate | None = None
    reply: _messages.Reply | None = None
    begun: _requests.BegunWait | None = None


class Explainer:
    """Answers questions about decisions, up to a number per second."""

    def __init__(self, state: _state.State, counters: metrics.Metrics) -> None:
        self.state = state
        self.counters = counters
        self.allowance = 1.0
        self.updated_at = state.clock.now()

    def is_enabled(self) -> bool:
        """Return whether the settings permit explanations."""
        return self.state.settings.explains_per_s > 0.0

    def answer(self, body: bytes) -> ReportDoc | errors.Failure:
        """Return the explanation that a question asks for."""
        now = self.state.clock.now()
        answer = self.report_or_failure(body, now)
        if isinstance(answer, errors.Failure):
            self.counters.explanations.labels(answer.kind.value).inc()
            return answer
        self.counters.explanations.labels(answer['outcome']).inc()
        route, account = answer['route'], answer['account']
        self.state.log.write(
            'explain',
            route=route['name'] if route else None,
            account=account['name'] if account else None,
            outcome=answer['outcome'],
            server=answer['server'],
            took_s=round(self.state.clock.now() - now, SECONDS_DIGITS),
        )
        return answer

    def report_or_failure(
        self, body: bytes, now: float
    ) -> ReportDoc | errors.Failure:
        """Return the explanation, or why there is none."""
        question = parse_question(body, self.state.settings.region_by_zone)
        if isinstance(question, result.Err):
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST, question.err_value
            )
        if not self.take_allowance(now):
            return errors.Failure(
                errors.ErrorKind.OVER_RATE,
                'explains_per_s of the settings is used up',
                1.0 / self.state.settings.explains_per_s,
            )
        report = explain(self.state, question.ok_value, now)
        if isinstance(report, result.Err):
            return errors.Failure(errors.ErrorKind.NOT_FOUND, report.err_value)
        return report.ok_value

    def take_allowance(self, now: float) -> bool:
        """Return whether one more explanation is within the limit."""
        rate = self.state.settings.explains_per_s
        self.allowance = min(
            max(1.0, rate),
            self.allowance + rate * max(0.0, now - self.updated_at),
        )
        self.updated_at = now
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True


def parse_question(
    body: bytes, region_by_zone: collections.abc.Mapping[str, str]
) -> result.Result[QuestionDoc, str]:
    """Decode and check a question; the error names the field."""
    if len(body) > MAX_QUESTION_BYTES:
        return result.Err('the question is too long')
    decoded = codec.decode(body, QuestionDoc)
    if isinstance(decoded, result.Err):
        return decoded
    question = decoded.ok_value
    if not question['host']:
        return result.Err('a host expected - at `$.host`')
    if not question['path'].startswith('/'):
        return result.Err('a path from / expected - at `$.path`')
    if not METHOD_REGEX.fullmatch(question.get('method', DEFAULT_METHOD)):
        return result.Err('an HTTP method expected - at `$.method`')
    if 'zone' in question and question['zone'] not in region_by_zone:
        return result.Err('unknown availability zone - at `$.zone`')
    return result.Ok(question)


def explain(
    state: _state.State, question: QuestionDoc, now: float
) -> result.Result[ReportDoc, str]:
    """Explain the decision that the question asks for.

    The error names an account or a route that this VM does not know.  Needs a
    running event loop.
    """
    configuration, routes = state.configuration, state.routes
    route: steering.Route | None = None
    account: steering.ClientAccount | None = None
    if configuration is not None and routes is not None:
        if 'account' in question:
            account = configuration.accounts.get(question['account'])
            if account is None:
                return result.Err(f'unknown account {question["account"]!r}')
        route = routes.find(
            question['host'], question['path'].partition('?')[0]
        )
        if route is None:
            return result.Err(
                f'no route matches {question["host"]} {question["path"]}'
            )
    trial = trial_state(
        state, route, account, question.get('affinity', ''), now
    )
    decider = Decider(trial)
    report = start_report(state, question, route, account, now)
    if route is not None:
        report['destinations'] = [
            {
                'service': destination.service,
                'weight': destination.weight,
                'chosen': False,
            }
            for destination in route.destinations
        ]
    admitted = decider.admit(make_call(question, account, now))
    if isinstance(admitted, _messages.Reply):
        report['reply'] = reply_doc(admitted)
        return result.Ok(report)
    admitted = with_priority(admitted, question.get('priority'))
    if admitted.account is None:
        # The route is public, or there are no accounts.
        report['account'] = None
    report['priority'] = _requests.effective_priority(admitted)
    report['time_left_s'] = seconds(admitted.deadline - now)
    for destination in report['destinations']:
        destination['chosen'] = destination['service'] == admitted.service
    report['region'] = region_doc(trial.regions, admitted, now)
    report['token'] = take_token(decider, admitted, now)
    query = _requests.placement_query(admitted)
    # Before the decision, which reserves a slot in the copy.
    report['comparisons'] = compare(trial.placement, admitted, query, now)
    add_decision(report, decider, decide(decider, admitted, query, now), now)
    return result.Ok(report)


def trial_state(
    state: _state.State,
    route: steering.Route | None,
    account: steering.ClientAccount | None,
    object_key: str,
    now: float,
) -> _state.State:
    """Return the state of this VM with copies of what a decision changes."""
    services = (
        frozenset(destination.service for destination in route.destinations)
        if route is not None
        else frozenset[str]()
    )
    trial = copy.copy(state)
    trial.clock = FrozenClock(now)
    snapshot = steering.take_snapshot(
        state.wait_queue, state.regions, services, object_key
    )
    trial.servers = snapshot.servers
    trial.placement = snapshot.placement
    trial.regions = snapshot.regions
    trial.wait_queue = snapshot.wait_queue
    trial.splits = steering.copy_balancer(state.splits)
    trial.quotas = steering.copy_quotas(
        state.quotas,
        frozenset((account.name,)) if account else frozenset(),
    )
    return trial


def make_call(
    question: QuestionDoc, account: steering.ClientAccount | None, now: float
) -> _messages.Call:
    """Return the call that the question describes.

    It has any one key of the account, which admission looks up.
    """
    time_left_s = _requests.DEFAULT_DEADLINE_S
    if 'deadline_ms' in question:
        time_left_s = question['deadline_ms'] / 1000
    return _messages.Call(
        request_id='',
        method=question.get('method', DEFAULT_METHOD),
        host=question['host'],
        path=question['path'],
        headers=(),
        key=min(account.api_keys, default=None) if account else None,
        affinity_key=question.get('affinity', ''),
        arrived_at=now,
        deadline=now + time_left_s,
    )


def with_priority(
    admitted: _messages.Admitted, priority: int | None
) -> _messages.Admitted:
    """Replace the priority that applies, if one is given."""
    if priority is None:
        return admitted
    account = admitted.account
    if account is not None and account.priority is not None:
        return admitted._replace(account=account._replace(priority=priority))
    return admitted._replace(route=admitted.route._replace(priority=priority))


def take_token(
    decider: Decider, admitted: _messages.Admitted, now: float
) -> TokenDoc:
    """Take a token from the copied buckets, and tell if that succeeds."""
    account = admitted.account
    if account is None or account.rate_per_s <= 0:
        return {'needed': False, 'available': True, 'refusal': None}
    if decider.state.quotas.try_take(account, now):
        return {'needed': True, 'available': True, 'refusal': None}
    return {
        'needed': True,
        'available': False,
        'refusal': reply_doc(decider.refuse_over_rate(account, now)),
    }


def compare(
    placement: steering.Placement,
    admitted: _messages.Admitted,
    query: steering.PlacementQuery,
    now: float,
) -> list[ComparisonDoc]:
    """Return the servers of the preferred region, and those of all regions.

    The second are compared if the first are busy.
    """
    queries = [query]
    if query.region is not None:
        queries.append(query._replace(region=None))
    return [
        comparison_doc(
            each.region,
            steering.compare_all(
                placement, each, now, _requests.max_slot_wait_s(admitted)
            ),
        )
        for each in queries
    ]


def decide(
    decider: Decider,
    admitted: _messages.Admitted,
    query: steering.PlacementQuery,
    now: float,
) -> Decision:
    """Decide on a request as ``reserve_server`` does, up to a wait."""
    wait_until = decider.wait_until(admitted)
    begun: _requests.BegunWait | None = None
    for _ in range(MAX_COMPARISONS):
        begun_or_ended = decider.begin_reservation(
            admitted, query, wait_until, now
        )
        if isinstance(begun_or_ended, _messages.Reply):
            return Decision(reply=begun_or_ended)
        if not isinstance(begun_or_ended, _requests.BegunWait):
            return Decision(candidate=begun_or_ended)
        begun = begun_or_ended
        decider.state.wait_queue.start_wait(begun.waiter, begun.best, now)
        if not begun.waiter.future.done():
            break
        ended = decider.end_wait(
            admitted, begun, begun.waiter.future.result(), now
        )
        if isinstance(ended, _messages.Reply):
            return Decision(reply=ended)
        if ended is not None:
            return Decision(candidate=ended)
    return Decision(begun=begun)


def start_report(
    state: _state.State,
    question: QuestionDoc,
    route: steering.Route | None,
    account: steering.ClientAccount | None,
    now: float,
) -> ReportDoc:
    """Return the report on a request that is not admitted."""
    settings, configuration = state.settings, state.configuration
    age_s = state.replica.documents_age(now)
    return {
        'vm': {
            'name': settings.vm,
            'zone': settings.availability_zone,
            'region': settings.region,
            'phase': state.stop.phase(now).value,
            'version': configuration.version if configuration else None,
            'age_s': None if age_s == float('inf') else seconds(age_s),
        },
        'question': question,
        'outcome': 'reject',
        'outcome_with_token': 'reject',
        'server': None,
        'reply': None,
        'wait': None,
        'lookup': lookup_doc(state, question.get('zone'), now),
        'route': route_doc(route) if route is not None else None,
        'account': account_doc(account) if account is not None else None,
        'priority': None,
        'time_left_s': question.get(
            'deadline_ms', _requests.DEFAULT_DEADLINE_S * 1000
        )
        / 1000,
        'destinations': [],
        'region': None,
        'token': None,
        'comparisons': [],
    }


def add_decision(
    report: ReportDoc, decider: Decider, decision: Decision, now: float
) -> None:
    """Add what becomes of the request to its report."""
    candidate, begun = decision.candidate, decision.begun
    if decision.reply is not None:
        report['reply'] = reply_doc(decision.reply)
        outcome = 'reject'
    elif candidate is not None:
        report['server'] = candidate.server.entry.server_id
        outcome = 'send'
    else:
        outcome = 'wait'
        if begun is not None:
            report['wait'] = wait_doc(decider.state.wait_queue, begun, now)
    report['outcome'] = report['outcome_with_token'] = outcome
    token = report['token']
    if token is not None and not token['available']:
        report['outcome'] = 'ask_peers'


def wait_doc(
    wait_queue: steering.WaitQueue, begun: _requests.BegunWait, now: float
) -> WaitDoc:
    """Return the wait of a request that is in the copied queue."""
    service = begun.waiter.query.service
    queue = wait_queue.queues.get(service, [])
    return {
        'order': 'priority' if begun.waiter.cost is None else 'cost',
        'ahead': queue.index(begun.waiter) if begun.waiter in queue else 0,
        'waiting': len(queue),
        'slots': wait_queue.known_slots(service),
        'expected_s': seconds(begun.best.slot_wait_s),
        'limit_s': seconds(begun.waiter.deadline - now),
    }


def lookup_doc(
    state: _state.State, zone: str | None, now: float
) -> LookupDoc | None:
    """Return what a look-up tells callers of a zone, None without a zone."""
    if zone is None:
        return None
    region = state.settings.region_by_zone[zone]
    own_vm = state.settings.vm
    members = dict(state.members.live)
    if not state.stop.rules(now).listed:
        members.pop(own_vm, None)
    vms = [
        member.vm
        for member in steering.nearest_members(members.values(), region, zone)
    ]
    return {
        'zone': zone,
        'region': region,
        'names_this_vm': own_vm in vms,
        'vms': vms,
    }


def route_doc(route: steering.Route) -> RouteDoc:
    """Return what is shown of a route."""
    return {
        'name': route.name,
        'host': route.host,
        'prefix': route.path_prefix,
        'idempotent': route.idempotent,
        'public': route.public,
        'sticky': route.sticky,
        'priority': route.priority,
        'target_s': route.target_s,
        'timeout_s': route.timeout_s,
        'home_regions': sorted(route.home_regions),
    }


def account_doc(account: steering.ClientAccount) -> AccountDoc:
    """Return what is shown of a client account."""
    return {
        'name': account.name,
        'priority': account.priority,
        'rate_per_s': account.rate_per_s,
        'home_regions': sorted(account.home_regions),
    }


def region_doc(
    regions: steering.RegionSplitter,
    admitted: _messages.Admitted,
    now: float,
) -> RegionDoc:
    """Return the split over regions of a request's service."""
    service, allowed = admitted.service, admitted.allowed_regions
    split = regions.service_split(service, now)
    return {
        'region': admitted.region,
        'remote_share': round(split.remote_share, SECONDS_DIGITS),
        'shares': {
            region: round(share, SECONDS_DIGITS)
            for region, share in regions.region_weights(service, split).items()
        },
        'allowed': None if allowed is None else sorted(allowed),
    }


def comparison_doc(
    region: str | None, comparison: steering.FullComparison
) -> ComparisonDoc:
    """Return the servers that were compared, and the others."""
    preferred_for = None
    if comparison.candidates:
        first = comparison.candidates[0].candidate
        preferred_for = 'the lowest estimate'
        if comparison.unused_first:
            preferred_for = 'no recent requests'
        elif first.estimate_s > min(
            candidate.estimate_s for _, candidate in comparison.candidates
        ):
            preferred_for = 'a wait within the limit'
    return {
        'region': region,
        'preferred_for': preferred_for,
        'candidates': [
            {
                'server': candidate.server.entry.server_id,
                'zone': candidate.server.entry.availability_zone,
                'region': candidate.server.region,
                'rank': rank,
                'estimate_s': seconds(candidate.estimate_s),
                'slot_wait_s': seconds(candidate.slot_wait_s),
                'run_s': seconds(candidate.run_s),
                'cached': candidate.cached,
                'can_send_now': candidate.can_send_now,
            }
            for rank, candidate in comparison.candidates
        ],
        'excluded': [
            {
                'server': server.entry.server_id,
                'zone': server.entry.availability_zone,
                'region': server.region,
                'reason': reason.value,
                'left_s': None if left_s is None else seconds(left_s),
            }
            for server, reason, left_s in comparison.excluded
        ],
    }


def reply_doc(reply: _messages.Reply) -> ReplyDoc | None:
    """Return the failure that a reply of this system reports."""
    failure = reply.failure
    if failure is None:
        return None
    return {
        'status': errors.ANSWERS[failure.kind].status,
        'kind': failure.kind.value,
        'message': failure.message,
        'retry_after_s': failure.retry_after_s,
    }


def seconds(value: float) -> float:
    """Return seconds as they are shown."""
    return round(value, SECONDS_DIGITS)
