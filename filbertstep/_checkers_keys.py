"""Checkers of keys, accounts and rates: P3, P4, P5 and P6."""

import typing

from filbertstep import _facts
from filbertstep import _history
from filbertstep import _violations

# Time in seconds after which a withdrawn key no longer works.
WITHDRAWAL_BOUND_S: typing.Final = 9.0

# Allowance for the time between admission and the begin of a run, in seconds
# of an account's rate.
JITTER_S: typing.Final = 0.25


def is_open(service: str, facts: _facts.Facts) -> bool:
    """Tell whether a service needs no key; an unknown one does."""
    return (
        service in facts.services and facts.services[service].allows_anonymous
    )


def check_accounts(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P3: requests run only for the account whose key came with them."""
    found = []
    sent = _violations.group_by_request(history, 'sent')
    for event in _violations.select_events(history, 'begin'):
        if is_open(event['service'], facts):
            continue
        tries = [
            one
            for one in sent.get(event['request_id'], [])
            if one['t'] <= event['t']
        ]
        what = account_fault(event, tries, facts)
        if what:
            found.append(_violations.Violation('P3', event['t'], what))
    return found


def account_fault(
    event: _history.AnyEvent,
    tries: list[_history.AnyEvent],
    facts: _facts.Facts,
) -> str:
    """Return what is wrong with the account of a run, or nothing."""
    accounts = {
        facts.key_accounts[one['key_name']]
        for one in tries
        if one['key_name'] in facts.key_accounts
    }
    if not accounts:
        return f'{event["request_id"]} ran without a key'
    if event['account'] and event['account'] not in accounts:
        return (
            f'{event["request_id"]} ran for {event["account"]}, '
            f'its keys are of {sorted(accounts)}'
        )
    permitted = [
        name
        for name in accounts
        if name in facts.accounts
        and event['service'] in facts.accounts[name].services
    ]
    if not permitted:
        return f'{sorted(accounts)} may not use {event["service"]}'
    return ''


def check_secrets(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P4: no backend server sees a caller's key."""
    return [
        _violations.Violation(
            'P4',
            event['t'],
            f'{event["server"]} saw a key in {event["request_id"]}',
        )
        for event in _violations.select_events(
            history, 'begin', 'queued', 'shed'
        )
        if event['secret_seen']
    ]


def check_withdrawals(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P5: a withdrawn key stops working, also for a connected caller."""
    ended = {
        one.key_name: one.withdrawn_at + WITHDRAWAL_BOUND_S
        for one in facts.key_withdrawals
    }
    sent = _violations.group_by_request(history, 'sent')
    found = []
    for event in _violations.select_events(history, 'begin', 'answered'):
        if event['event'] == 'answered':
            names = {event['key_name']} if event['ran'] == 'yes' else set()
        else:
            names = {
                one['key_name']
                for one in sent.get(event['request_id'], [])
                if one['t'] <= event['t']
            }
        if names and all(event['t'] > ended.get(n, event['t']) for n in names):
            what = f'{event["request_id"]} {event["event"]} with {names}'
            found.append(_violations.Violation('P5', event['t'], what))
    return found


def check_rates(
    history: _violations.History, facts: _facts.Facts
) -> list[_violations.Violation]:
    """P6: runs of an account stay within its rate and burst."""
    buckets = {
        name: _violations.TokenBucket(
            fact.rate_per_s, fact.burst_requests, fact.rate_per_s * JITTER_S
        )
        for name, fact in facts.accounts.items()
    }
    accounts = {
        event['request_id']: event['account']
        for event in _violations.select_events(history, 'sent')
    }
    found = []
    for event in _violations.select_events(history, 'begin'):
        name = event['account'] or accounts.get(event['request_id'], '')
        if name not in buckets or is_open(event['service'], facts):
            continue
        if not buckets[name].try_consume(event['t'], 1.0):
            what = f'{name}: {event["request_id"]} above rate and burst'
            found.append(_violations.Violation('P6', event['t'], what))
    return found
