"""Checkers of API keys, client accounts and rates: P3, P4, P5 and P6."""

import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Time from the withdrawal of an API key until it must have stopped working.
WITHDRAWAL_BOUND_S: typing.Final = 9.0

# Tolerated excess, as seconds of an account's rate: a node limits the rate at
# admission, but the checker counts runs, which begin some time later.
ADMISSION_JITTER_S: typing.Final = 0.25


def allows_anonymous(service: str, facts: _facts.Facts) -> bool:
    """Tell whether a service needs no API key; an unknown service does."""
    return (
        service in facts.services and facts.services[service].allows_anonymous
    )


def check_authorization(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P3: requests run only for the account whose key came with them."""
    violations = []
    sent_by_request = _violations.group_by_request(history, 'sent')
    for begin in _violations.select_events(history, 'begin'):
        if allows_anonymous(begin['service'], facts):
            continue
        attempts = [
            sent
            for sent in sent_by_request.get(begin['request_id'], [])
            if sent['t'] <= begin['t']
        ]
        fault = authorization_fault(begin, attempts, facts)
        if fault:
            violations.append(_violations.Violation('P3', begin['t'], fault))
    return violations


def authorization_fault(
    begin: _history.AnyEvent,
    attempts: list[_history.AnyEvent],
    facts: _facts.Facts,
) -> str:
    """Return why a run was not authorized, or an empty string if it was.

    ``attempts`` holds the ``sent`` events of the request before the run.
    """
    accounts = {
        facts.key_accounts[sent['key_name']]
        for sent in attempts
        if sent['key_name'] in facts.key_accounts
    }
    if not accounts:
        return f'{begin["request_id"]} ran without a valid API key'
    if begin['account'] and begin['account'] not in accounts:
        return (
            f'{begin["request_id"]} ran for client account '
            f'{begin["account"]}, but its API keys belong to '
            f'{sorted(accounts)}'
        )
    permitted_accounts = [
        account
        for account in accounts
        if account in facts.accounts
        and begin['service'] in facts.accounts[account].services
    ]
    if not permitted_accounts:
        return (
            f'client accounts {sorted(accounts)} may not use service '
            f'{begin["service"]}'
        )
    return ''


def check_key_leaks(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P4: no backend server sees a caller's API key."""
    return [
        _violations.Violation(
            'P4',
            event['t'],
            f'{event["server"]} saw an API key in {event["request_id"]}',
        )
        for event in _violations.select_events(
            history, 'begin', 'queued', 'shed'
        )
        if event['secret_seen']
    ]


def check_key_withdrawals(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P5: a withdrawn key stops working, even on an open connection."""
    unusable_after = {
        withdrawal.key_name: withdrawal.withdrawn_at + WITHDRAWAL_BOUND_S
        for withdrawal in facts.key_withdrawals
    }
    sent_by_request = _violations.group_by_request(history, 'sent')
    violations = []
    for event in _violations.select_events(history, 'begin', 'answered'):
        if event['event'] == 'answered':
            key_names = {event['key_name']} if event['ran'] == 'yes' else set()
        else:
            key_names = {
                sent['key_name']
                for sent in sent_by_request.get(event['request_id'], [])
                if sent['t'] <= event['t']
            }
        if key_names and all(
            event['t'] > unusable_after.get(key_name, event['t'])
            for key_name in key_names
        ):
            text = (
                f'{event["request_id"]}: {event["event"]} with withdrawn '
                f'API keys {key_names}'
            )
            violations.append(_violations.Violation('P5', event['t'], text))
    return violations


def check_account_rates(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P6: runs of a client account stay within its rate and burst."""
    buckets = {
        name: _violations.TokenBucket(
            account.rate_per_s,
            account.burst_requests,
            account.rate_per_s * ADMISSION_JITTER_S,
        )
        for name, account in facts.accounts.items()
    }
    account_by_request = {
        event['request_id']: event['account']
        for event in _violations.select_events(history, 'sent')
    }
    violations = []
    for begin in _violations.select_events(history, 'begin'):
        account_name = begin['account'] or account_by_request.get(
            begin['request_id'], ''
        )
        if account_name not in buckets or allows_anonymous(
            begin['service'], facts
        ):
            continue
        if not buckets[account_name].try_consume(begin['t'], 1.0):
            text = (
                f'client account {account_name}: {begin["request_id"]} '
                f'exceeds its rate and burst'
            )
            violations.append(_violations.Violation('P6', begin['t'], text))
    return violations
