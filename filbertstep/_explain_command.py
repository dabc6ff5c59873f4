"""Asks an entry VM where a request would go now, and prints the answer.

The request is not sent.  The VM decides on copies of its tables, see
``entry._explain``.
"""

import asyncio
import collections
import collections.abc
import sys
import typing

import aiohttp
import fire
import msgspec
import result

from filbertstep import _addresses
from filbertstep import _command_line
from filbertstep import _decimals
from filbertstep import codec
from filbertstep import entry
from filbertstep import errors

NAME: typing.Final = 'filbertstep-explain'

EXIT_NO_ANSWER: typing.Final = 1

TIMEOUT_S: typing.Final = 5.0

# Servers that the text names for each reason why servers are not compared.
MAX_NAMED_SERVERS: typing.Final = 6

MAX_DIGITS: typing.Final = 13

# Answers to questions that are wrong themselves.
USAGE_STATUSES: typing.Final = frozenset(
    {
        errors.ANSWERS[errors.ErrorKind.BAD_REQUEST].status,
        errors.ANSWERS[errors.ErrorKind.NOT_FOUND].status,
    }
)


class NoAnswer(typing.NamedTuple):
    """Why there is no explanation, and the exit code for it."""

    exit_code: int
    message: str


async def ask(
    vm: str, question: entry.QuestionDoc
) -> result.Result[bytes, NoAnswer]:
    """Send a question to a VM; return the JSON text of its explanation."""
    url = f'http://{vm}{entry.EXPLAIN_PATH}'
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
            ) as session,
            session.post(
                url, data=codec.encode(question), allow_redirects=False
            ) as response,
        ):
            status, body = response.status, await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        return result.Err(
            NoAnswer(EXIT_NO_ANSWER, f'{vm} does not answer: {reason}')
        )
    if status == 200:
        return result.Ok(body)
    failure = codec.decode_open(body, errors.ErrorBody)
    if isinstance(failure, result.Err):
        return result.Err(
            NoAnswer(
                EXIT_NO_ANSWER,
                f'{vm} explains no decisions (status {status})',
            )
        )
    return result.Err(
        NoAnswer(
            _command_line.EXIT_USAGE
            if status in USAGE_STATUSES
            else EXIT_NO_ANSWER,
            failure.ok_value['message'],
        )
    )


def make_question(
    host: str,
    path: str,
    method: str,
    account: str,
    priority: str,
    deadline_ms: str,
    affinity: str,
    zone: str,
) -> result.Result[entry.QuestionDoc, str]:
    """Return the question; empty options are left out of it."""
    question: entry.QuestionDoc = {
        'host': host,
        'path': path,
        'method': method,
    }
    if account:
        question['account'] = account
    if affinity:
        question['affinity'] = affinity
    if zone:
        question['zone'] = zone
    if priority:
        rank = _decimals.parse_decimal(priority, MAX_DIGITS)
        if rank is None:
            return result.Err('--priority: a whole number expected')
        question['priority'] = rank
    if deadline_ms:
        milliseconds = _decimals.parse_decimal(deadline_ms, MAX_DIGITS)
        if milliseconds is None:
            return result.Err('--deadline-ms: a whole number expected')
        question['deadline_ms'] = milliseconds
    return result.Ok(question)


def render(report: entry.ReportDoc) -> str:
    """Return an explanation as text."""
    return '\n'.join(
        [
            *render_request(report),
            *render_placement(report),
            *render_outcome(report),
        ]
    )


def render_request(report: entry.ReportDoc) -> list[str]:
    """Return the lines about the VM, the route and the account."""
    vm, route, account = report['vm'], report['route'], report['account']
    version = 'none' if vm['version'] is None else vm['version']
    age = 'unknown' if vm['age_s'] is None else f'{vm["age_s"]:.3f} s'
    lines = [
        f'VM: {vm["name"]} in {vm["zone"]} ({vm["region"]}), {vm["phase"]},'
        f' configuration {version}, age {age}'
    ]
    lookup = report['lookup']
    if lookup is not None:
        lines.append(
            f'Look-up: callers in {lookup["zone"]} get'
            f' {", ".join(lookup["vms"]) or "no VM"}'
            + ('' if lookup['names_this_vm'] else '; not this VM')
        )
    if route is not None:
        kinds = [
            name
            for name, applies in (
                ('idempotent', route['idempotent']),
                ('public', route['public']),
                ('sticky', route['sticky']),
            )
            if applies
        ]
        lines.append(
            f'Route: {route["name"]} ({route["host"]}{route["prefix"]}),'
            f' priority {route["priority"]}, target {route["target_s"]:g} s,'
            f' timeout {route["timeout_s"]:g} s'
            + ''.join(f', {kind}' for kind in kinds)
        )
    if account is not None:
        priority = account['priority']
        lines.append(
            f'Account: {account["name"]}, priority'
            f' {"of the route" if priority is None else priority}, '
            + (
                f'{account["rate_per_s"]:g} requests/s'
                if account['rate_per_s'] > 0
                else 'no rate limit'
            )
        )
    if report['priority'] is not None:
        lines.append(
            f'Request: priority {report["priority"]},'
            f' {report["time_left_s"]:g} s left'
        )
    return lines


def render_placement(report: entry.ReportDoc) -> list[str]:
    """Return the lines about the service, the region and the servers."""
    lines = []
    if len(report['destinations']) > 1:
        lines.append(
            'Split: '
            + ', '.join(
                f'{part["service"]} {part["weight"]:g}'
                + (' (next)' if part['chosen'] else '')
                for part in report['destinations']
            )
        )
    lines += [
        f'Service: {part["service"]}'
        for part in report['destinations']
        if part['chosen']
    ]
    region = report['region']
    if region is not None:
        if region['allowed'] is not None:
            allowed = ', '.join(region['allowed']) or 'none'
            lines.append(f'Region: any of the home regions ({allowed})')
        else:
            shares = ', '.join(
                f'{name} {100 * share:.1f} %'
                for name, share in region['shares'].items()
            )
            lines.append(f'Region: {region["region"]} (split: {shares})')
    for comparison in report['comparisons']:
        lines += render_comparison(comparison)
    return lines


def render_comparison(comparison: entry.ComparisonDoc) -> list[str]:
    """Return the lines about the servers of one region, or of all."""
    where = comparison['region'] or 'all regions that are allowed'
    lines = [f'Servers, {where}:']
    if not comparison['candidates']:
        lines.append('  none can get the request now')
    for place, candidate in enumerate(comparison['candidates']):
        lines.append(
            f'  {candidate["server"]} in {candidate["zone"]}:'
            f' estimate {candidate["estimate_s"]:.3f} s'
            f' (wait {candidate["slot_wait_s"]:.3f} s,'
            f' run {candidate["run_s"]:.3f} s), rank {candidate["rank"]}'
            + (', object cached' if candidate['cached'] else '')
            + ('' if candidate['can_send_now'] else ', no free slot')
            + (
                f'; preferred for {comparison["preferred_for"]}'
                if not place
                else ''
            )
        )
    by_reason: dict[str, list[str]] = collections.defaultdict(list)
    for server in comparison['excluded']:
        left_s = server['left_s']
        by_reason[server['reason']].append(
            server['server']
            + ('' if left_s is None else f' ({left_s:.1f} s left)')
        )
    for reason, names in by_reason.items():
        more = len(names) - MAX_NAMED_SERVERS
        lines.append(
            f'  not compared, {reason}: {", ".join(names[:MAX_NAMED_SERVERS])}'
            + (f' and {more} more' if more > 0 else '')
        )
    return lines


def render_outcome(report: entry.ReportDoc) -> list[str]:
    """Return the lines about what becomes of the request."""
    lines = []
    token = report['token']
    if token is not None and token['refusal'] is not None:
        lines.append(
            'Token: none on this VM; peers are asked first, and if they give'
            f' none: {describe_reply(token["refusal"])}'
        )
    outcome, wait = report['outcome_with_token'], report['wait']
    if outcome == 'send':
        lines.append(f'Outcome: sent to {report["server"]}')
    elif outcome == 'wait' and wait is not None:
        slots = '' if wait['slots'] is None else f', {wait["slots"]:g} slots'
        lines.append(
            f'Outcome: waits in the queue, by {wait["order"]}, behind'
            f' {wait["ahead"]} of {wait["waiting"] - 1} others{slots};'
            f' expected {wait["expected_s"]:.3f} s, at most'
            f' {wait["limit_s"]:.3f} s'
        )
    elif report['reply'] is not None:
        lines.append(
            f'Outcome: rejected with {describe_reply(report["reply"])}'
        )
    if report['outcome'] == 'ask_peers':
        lines[-1] += ', if there is a token'
    return lines


def describe_reply(reply: entry.ReplyDoc) -> str:
    """Return a failure reply as text."""
    retry_after_s = reply['retry_after_s']
    return f'{reply["status"]} {reply["kind"]}: {reply["message"]}' + (
        '' if retry_after_s is None else f', Retry-After {retry_after_s:g}'
    )


@_command_line.deferred
def command(
    vm: str,
    host: str,
    path: str,
    method: str = entry.DEFAULT_METHOD,
    account: str = '',
    priority: str = '',
    deadline_ms: str = '',
    affinity: str = '',
    zone: str = '',
    json: str = '',
) -> int:
    """Explain where a request would go from a VM now, without sending it.

    Exit codes: 0 explained, 1 the VM does not answer, 2 wrong options, or an
    account or a route that the VM does not know.

    Args:
        vm: host:port on which the VM listens for its peers.
        host: Host header of the request.
        path: path with the percent-encoded query.
        method: HTTP method.
        account: name of the client account; without it, there is no key.
        priority: replaces the priority that applies, 0 is the highest.
        deadline_ms: how long the caller waits, 30000 by default.
        affinity: value of the affinity cookie, which names an object.
        zone: availability zone of the caller, to show its look-up.
        json: print the explanation as JSON.
    """
    if not _addresses.is_address(vm):
        return _command_line.report_usage_error(
            NAME, '--vm: host:port expected'
        )
    question = make_question(
        host, path, method, account, priority, deadline_ms, affinity, zone
    )
    if isinstance(question, result.Err):
        return _command_line.report_usage_error(NAME, question.err_value)
    answer = asyncio.run(ask(vm, question.ok_value))
    if isinstance(answer, result.Err):
        print(f'{NAME}: {answer.err_value.message}', file=sys.stderr)
        return answer.err_value.exit_code
    report = codec.decode_open(answer.ok_value, entry.ReportDoc)
    if isinstance(report, result.Err):
        print(
            f'{NAME}: the answer of {vm} cannot be read: {report.err_value}',
            file=sys.stderr,
        )
        return EXIT_NO_ANSWER
    if json:
        print(msgspec.json.format(answer.ok_value).decode())
    else:
        print(render(report.ok_value))
    return _command_line.EXIT_OK


def main() -> None:
    """Run the command line program."""
    # Names and paths stay strings: fire would parse them as Python literals.
    _command_line.run(NAME, fire.decorators.SetParseFn(str)(command))
