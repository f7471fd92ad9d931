"""Tests of the execution of operators' commands."""

import asyncio
import hashlib

import pytest

from samphirestand import exceptions
from samphirestand import types
from tests.operators import fakes


def execute(found, *commands, prepared=True, operator='ada'):
    """Run commands in order; return the last answer."""

    async def main():
        if prepared and not found.store.current.version:
            await fakes.set_up(found)
        for command in commands:
            answer = await found.commands.execute(command, operator)
        return answer

    return asyncio.run(main())


def test_accepted_change_names_the_hosts():
    """Guards against an answer that hides hosts on the old version."""
    found = fakes.make()
    command = "ALTER ACCOUNT a RATE 5 BECAUSE 'less'"
    answer = execute(found, f"{command} AS CHANGE 'c1';")
    assert answer['outcome'] == 'accepted'
    assert answer['version'] == found.store.current.version == 7
    assert answer['running'] == ['h1', 'h2', 'h3']
    assert answer['hosts_unconfirmed'] == 0
    row = found.store.row(7)
    assert (row.author, row.reason) == ('ada', 'less')
    assert (row.command, row.change_id) == (command, 'c1')


def test_hosts_that_lag_are_named_after_a_limit():
    """Guards against an answer that waits for a dead host for ever."""
    found = fakes.make()
    execute(found, 'HELP')
    found.store.subscribe(
        lambda current: found.membership.follow(current.version, (1, 3))
    )
    before = found.clock.now()
    answer = execute(found, 'ALTER ACCOUNT a RATE 5')
    assert answer['unconfirmed'] == ['h2']
    assert found.clock.now() - before <= 2_100
    shown = execute(found, 'SHOW CONFIGURATION')['rows'][0]
    assert shown['unconfirmed'] == ['h2']
    assert (shown['version'], shown['author']) == (7, 'ada')


def test_answer_waits_for_hosts_that_follow():
    """Guards against an answer that names hosts as late too early."""
    found = fakes.make()
    execute(found, 'HELP')
    sleep = found.clock.sleep

    async def catch_up(duration_ms):
        await sleep(duration_ms)
        found.membership.follow(found.store.current.version)

    found.clock.sleep = catch_up
    found.store.subscribe(
        lambda current: found.membership.follow(current.version, (1,))
    )
    answer = execute(found, 'ALTER ACCOUNT a RATE 5')
    assert answer['running'] == ['h1', 'h2', 'h3']


def test_key_is_shown_once_and_works():
    """Guards against a key that can't be used or is kept readable."""
    found = fakes.make()
    answer = execute(found, 'CREATE KEY FOR ACCOUNT a')
    key_id, secret = answer['key'].split('.')
    key = found.store.current.keys_by_id[key_id]
    assert key.secret_sha256 == hashlib.sha256(secret.encode()).hexdigest()
    shown = execute(found, 'SHOW KEYS')
    everything = f'{found.platform.rows_by_table_and_key}{shown}'
    assert secret not in everything
    assert 'secret_sha256' not in answer['change']
    assert shown['rows'][0]['state'] == 'valid'
    execute(found, f'WITHDRAW KEY {key_id}')
    assert execute(found, 'SHOW KEYS FOR a')['rows'][0]['state'] == 'withdrawn'


def test_operator_key_needs_no_account():
    """Guards against a fleet whose operator keys can't be replaced."""
    found = fakes.make()
    answer = execute(found, 'CREATE KEY FOR OPERATOR bob')
    key = found.store.current.keys_by_id[answer['key_id']]
    assert (key.role, key.account) == ('operator', 'bob')


# Faults of the first attempt's calls (head, write, ...), and whether the
# repeated command shows another secret.
UNKNOWN = [
    (['', 'lost'] + ['down'] * 60, False),
    (['', 'down'] + ['down'] * 60, True),
]


@pytest.mark.parametrize('faults, has_key', UNKNOWN)
def test_unknown_key_can_be_repeated(faults, has_key):
    """Guards against two keys from one command, or a key without secret."""
    found = fakes.make()
    execute(found, 'HELP')
    found.platform.faults = list(faults)
    first = execute(found, "CREATE KEY FOR ACCOUNT a AS CHANGE 'c1'")
    assert first['outcome'] == 'unknown'
    assert first['change_id'] == 'c1'
    assert "USING CHANGE 'c1'" in first['notes'][0]
    found.platform.faults = []
    again = execute(found, "CREATE KEY FOR ACCOUNT a USING CHANGE 'c1'")
    assert again['outcome'] == 'accepted'
    assert len(found.store.current.keys_by_id) == 1
    assert ('key' in again) == has_key
    valid = again.get('key', first['key'])
    assert valid.split('.')[0] in found.store.current.keys_by_id


def test_outage_before_the_write_is_a_refusal():
    """Guards against an operator who is told `unknown` without need."""
    found = fakes.make()
    execute(found, 'HELP')
    found.platform.down = True
    new = execute(found, "DROP ACCOUNT a AS CHANGE 'c1'")
    assert (new['outcome'], new['code']) == ('refused', 'platform_unavailable')
    again = execute(found, "DROP ACCOUNT a USING CHANGE 'c1'")
    assert again['outcome'] == 'unknown'


def test_loser_of_a_race_is_told_who_won():
    """Guards against operators who undo each other's changes unaware."""
    first = fakes.make()
    execute(first, 'HELP')
    second = fakes.make(first.platform)

    async def main():
        await second.store.refresh()

        async def overtake():
            await first.commands.execute('ALTER ACCOUNT a RATE 1', 'bob')

        first.platform.before_transact = overtake
        return await second.commands.execute('ALTER ACCOUNT a RATE 2', 'ada')

    answer = asyncio.run(main())
    assert answer['outcome'] == 'conflict'
    assert answer['reason'] == (
        'version 7 by bob came first: ALTER ACCOUNT a RATE 1'
    )
    assert second.store.current.accounts_by_name['a'].rate == 1


# Command, outcome, text in the reason, kind of the audit row.
REFUSED = [
    ('DROP ACCOUNT b', 'refused', 'service s is open as', 'command_refused'),
    (
        'SET RATE SLOTS 3 IF VERSION 2',
        'conflict',
        'version 3 by setup came first: CREATE SERVICE',
        'command_superseded',
    ),
    (
        'SET RATE SLOTS 3 IF VERSION 99',
        'conflict',
        'at version 6, not 99',
        'command_superseded',
    ),
]


@pytest.mark.parametrize('command, outcome, reason, kind', REFUSED)
def test_refused_commands_are_audited(command, outcome, reason, kind):
    """Guards against refused commands that leave no trace."""
    found = fakes.make()
    answer = execute(found, command)
    assert answer['outcome'] == outcome
    assert reason in answer['reason']
    rows = execute(found, f'SHOW AUDIT KIND {kind}')['rows']
    assert [row['subject'] for row in rows] == ['ada']
    assert command in rows[0]['reason']


NOTED = [
    ('ALTER ACCOUNT a WHEN ISOLATED SERVE', True),
    ('ALTER ACCOUNT b RATE 3', True),
    ('ALTER ACCOUNT a RATE 3', False),
    ('CREATE KEY FOR ACCOUNT b', True),
    ('CREATE KEY FOR OPERATOR b', False),
]


@pytest.mark.parametrize('command, is_noted', NOTED)
def test_operator_is_told_of_accounts_that_go_on(command, is_noted):
    """Guards against a weaker withdrawal that nobody was told of."""
    answer = execute(fakes.make(), command)
    notes = ' '.join(answer['notes'])
    assert ('isolated availability zone' in notes) == is_noted


def test_withdrawal_notes_an_account_that_goes_on():
    """Guards against an operator who trusts a withdrawal too soon."""
    found = fakes.make()
    key_id = execute(found, 'CREATE KEY FOR ACCOUNT b')['key_id']
    answer = execute(found, f'WITHDRAW KEY {key_id}')
    assert 'isolated availability zone' in answer['notes'][0]


# Command, column, values in it.
SHOWN = [
    ('SHOW HOSTS', 'host', ['h1', 'h2', 'h3', 'h9']),
    ('SHOW HOSTS FOR z2', 'host', ['h2']),
    ('SHOW HOSTS', 'retired', [False, True, False, True]),
    ('SHOW ACCOUNTS', 'account', ['a', 'b']),
    ('SHOW ACCOUNTS FOR b', 'when_isolated', ['serve']),
    ('SHOW SERVICES', 'targets', ['t1, t2, t3']),
    ('SHOW SERVICES', 'open_as', ['b']),
    ('SHOW TARGETS', 'gateway', ['h1', 'h2', '']),
    ('SHOW TARGETS LIMIT 2', 'target', ['t1', 't2']),
    ('SHOW TARGETS FOR z9', 'target', ['t3']),
    ('SHOW ROUTES', 'primary', ['t1']),
    ('SHOW REFUSALS', 'request', ['r1', 'r2']),
    ('SHOW REFUSALS FOR ACCOUNT b', 'request', ['r2']),
    ('SHOW REFUSALS LIMIT 0', 'request', []),
]


@pytest.mark.parametrize('command, column, values', SHOWN)
def test_lists(command, column, values):
    """Guards against lists that leave out or add rows."""
    found = fakes.make()
    for number, account in ((1, 'a'), (2, 'b')):
        found.refusals.add(
            types.Refusal(f'r{number}', account, 'c', 'why', 'run', 0)
        )
    execute(found, 'RETIRE HOST h2', 'RETIRE HOST h9')
    answer = execute(found, command)
    assert [row[column] for row in answer['rows']] == values
    assert bool(answer['notes']) == (
        'REFUSALS' in command or 'LIMIT' in command
    )


def test_audit_shows_changes_and_events_in_order():
    """Guards against an audit that shows only a part of what happened."""
    found = fakes.make()
    execute(found, 'HELP')
    found.clock.set(found.clock.now() + 1_000)
    found.audit.record('failover', 's', 'primary died')
    found.clock.set(found.clock.now() + 1_000)
    execute(found, 'ALTER SERVICE s CLOSED')
    rows = execute(found, 'SHOW AUDIT LIMIT 3')['rows']
    assert [row['kind'] for row in rows] == ['change', 'failover', 'change']
    rows = execute(found, 'SHOW AUDIT FOR s')['rows']
    assert len(rows) == 6
    assert rows[-2]['reason'] == 'primary died'
    found.platform.down = True
    answer = execute(found, 'SHOW AUDIT')
    assert 'incomplete' in answer['notes'][0]
    assert answer['rows']


def test_audit_of_a_new_host_reads_the_stored_changes():
    """Guards against a host that knows only changes since its start."""
    first = fakes.make()
    execute(first, 'HELP')
    second = fakes.make(first.platform)
    second.store.apply_rows([fakes.snapshot(first.store)])
    rows = execute(second, 'SHOW AUDIT')['rows']
    assert len(rows) == 6
    second.platform.down = True
    notes = execute(second, 'SHOW CONFIGURATION')['notes']
    assert 'cannot be read' in notes[0]


def test_parse_errors_are_raised():
    """Guards against a mistyped command that is recorded as refused."""
    found = fakes.make()
    with pytest.raises(exceptions.CommandError):
        execute(found, 'DROP TABLE a')
    assert found.audit.buffered_count() == 0
