"""Tests of executing operators' commands."""

import asyncio
import hashlib

import pytest

from samphirestand import exceptions
from samphirestand import types
from tests.operators import fakes


def execute(components, *commands, prepared=True, operator='ada'):
    """Execute commands in order and return the last answer."""

    async def main():
        if prepared and not components.store.current.version:
            await fakes.run_setup(components)
        for command in commands:
            answer = await components.commands.execute(command, operator)
        return answer

    return asyncio.run(main())


def test_accepted_change_lists_the_hosts():
    """Guards against an answer that omits hosts with the old version."""
    components = fakes.make_host_components()
    command = "ALTER ACCOUNT a RATE 5 BECAUSE 'less'"
    answer = execute(components, f"{command} AS CHANGE 'c1';")
    assert answer['outcome'] == 'accepted'
    assert answer['version'] == components.store.current.version == 7
    assert answer['running'] == ['h1', 'h2', 'h3']
    assert answer['hosts_unconfirmed'] == 0
    row = components.store.row(7)
    assert (row.author, row.reason) == ('ada', 'less')
    assert (row.command, row.change_id) == (command, 'c1')


def test_lagging_hosts_are_listed_after_a_timeout():
    """Guards against an answer that waits for a dead host forever."""
    components = fakes.make_host_components()
    execute(components, 'HELP')
    components.store.subscribe(
        lambda current: components.membership.set_versions(
            current.version, (1, 3)
        )
    )
    before = components.clock.now()
    answer = execute(components, 'ALTER ACCOUNT a RATE 5')
    assert answer['unconfirmed'] == ['h2']
    assert components.clock.now() - before <= 2_100
    shown = execute(components, 'SHOW CONFIGURATION')['rows'][0]
    assert shown['unconfirmed'] == ['h2']
    assert (shown['version'], shown['author']) == (7, 'ada')


def test_answer_waits_until_hosts_apply_the_change():
    """Guards against an answer that lists hosts as unconfirmed too early."""
    components = fakes.make_host_components()
    execute(components, 'HELP')
    sleep = components.clock.sleep

    async def sleep_and_update_hosts(duration_ms):
        await sleep(duration_ms)
        components.membership.set_versions(components.store.current.version)

    components.clock.sleep = sleep_and_update_hosts
    components.store.subscribe(
        lambda current: components.membership.set_versions(
            current.version, (1,)
        )
    )
    answer = execute(components, 'ALTER ACCOUNT a RATE 5')
    assert answer['running'] == ['h1', 'h2', 'h3']


def test_key_is_valid_and_shown_once():
    """Guards against an invalid key, or one whose secret is stored."""
    components = fakes.make_host_components()
    answer = execute(components, 'CREATE KEY FOR ACCOUNT a')
    key_id, secret = answer['key'].split('.')
    key = components.store.current.keys_by_id[key_id]
    assert key.secret_sha256 == hashlib.sha256(secret.encode()).hexdigest()
    shown = execute(components, 'SHOW KEYS')
    stored_and_shown = f'{components.platform.rows_by_table_and_key}{shown}'
    assert secret not in stored_and_shown
    assert 'secret_sha256' not in answer['change']
    assert shown['rows'][0]['state'] == 'valid'
    execute(components, f'WITHDRAW KEY {key_id}')
    assert (
        execute(components, 'SHOW KEYS FOR a')['rows'][0]['state']
        == 'withdrawn'
    )


def test_operator_key_needs_no_account():
    """Guards against a fleet whose operator keys can't be replaced."""
    components = fakes.make_host_components()
    answer = execute(components, 'CREATE KEY FOR OPERATOR bob')
    key = components.store.current.keys_by_id[answer['key_id']]
    assert (key.role, key.account) == ('operator', 'bob')


# Faults of the first attempt's calls (head, write, ...), and whether the
# repeated command shows another secret.
UNKNOWN_OUTCOMES = [
    (['', 'lost'] + ['down'] * 60, False),
    (['', 'down'] + ['down'] * 60, True),
]


@pytest.mark.parametrize('faults, has_key', UNKNOWN_OUTCOMES)
def test_create_key_with_unknown_outcome_can_be_repeated(faults, has_key):
    """Guards against two keys from one command, or a key without a secret."""
    components = fakes.make_host_components()
    execute(components, 'HELP')
    components.platform.faults = list(faults)
    first = execute(components, "CREATE KEY FOR ACCOUNT a AS CHANGE 'c1'")
    assert first['outcome'] == 'unknown'
    assert first['change_id'] == 'c1'
    assert "USING CHANGE 'c1'" in first['notes'][0]
    components.platform.faults = []
    again = execute(components, "CREATE KEY FOR ACCOUNT a USING CHANGE 'c1'")
    assert again['outcome'] == 'accepted'
    assert len(components.store.current.keys_by_id) == 1
    assert ('key' in again) == has_key
    valid = again.get('key', first['key'])
    assert valid.split('.')[0] in components.store.current.keys_by_id


def test_outage_before_the_write_is_a_refusal():
    """Guards against `unknown` as the outcome when nothing was written."""
    components = fakes.make_host_components()
    execute(components, 'HELP')
    components.platform.down = True
    new = execute(components, "DROP ACCOUNT a AS CHANGE 'c1'")
    assert (new['outcome'], new['code']) == ('refused', 'platform_unavailable')
    again = execute(components, "DROP ACCOUNT a USING CHANGE 'c1'")
    assert again['outcome'] == 'unknown'


def test_conflict_names_the_winning_change():
    """Guards against operators who unknowingly undo each other's changes."""
    first = fakes.make_host_components()
    execute(first, 'HELP')
    second = fakes.make_host_components(first.platform)

    async def main():
        await second.store.refresh()

        async def change_first():
            await first.commands.execute('ALTER ACCOUNT a RATE 1', 'bob')

        first.platform.before_transact = change_first
        return await second.commands.execute('ALTER ACCOUNT a RATE 2', 'ada')

    answer = asyncio.run(main())
    assert answer['outcome'] == 'conflict'
    assert answer['reason'] == (
        'version 7 by bob came first: ALTER ACCOUNT a RATE 1'
    )
    assert second.store.current.accounts_by_name['a'].rate == 1


# Command, outcome, part of the reason, kind of the audit row.
REFUSED_COMMANDS = [
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


@pytest.mark.parametrize('command, outcome, reason, kind', REFUSED_COMMANDS)
def test_refused_commands_are_audited(command, outcome, reason, kind):
    """Guards against refused commands without an audit row."""
    components = fakes.make_host_components()
    answer = execute(components, command)
    assert answer['outcome'] == outcome
    assert reason in answer['reason']
    rows = execute(components, f'SHOW AUDIT KIND {kind}')['rows']
    assert [row['subject'] for row in rows] == ['ada']
    assert command in rows[0]['reason']


NOTED_COMMANDS = [
    ('ALTER ACCOUNT a WHEN ISOLATED SERVE', True),
    ('ALTER ACCOUNT b RATE 3', True),
    ('ALTER ACCOUNT a RATE 3', False),
    ('CREATE KEY FOR ACCOUNT b', True),
    ('CREATE KEY FOR OPERATOR b', False),
]


@pytest.mark.parametrize('command, is_noted', NOTED_COMMANDS)
def test_account_served_when_isolated_is_noted(command, is_noted):
    """Guards against a missing note that withdrawn keys may still work.

    An account that is served when isolated goes on in an isolated zone, and
    so does a key of it that was withdrawn in the meantime.
    """
    answer = execute(fakes.make_host_components(), command)
    notes = ' '.join(answer['notes'])
    assert ('isolated availability zone' in notes) == is_noted


def test_withdrawal_notes_an_account_served_when_isolated():
    """Guards against a withdrawal that seems effective in isolated zones."""
    components = fakes.make_host_components()
    key_id = execute(components, 'CREATE KEY FOR ACCOUNT b')['key_id']
    answer = execute(components, f'WITHDRAW KEY {key_id}')
    assert 'isolated availability zone' in answer['notes'][0]


# Command, column, its values in the answer.
SHOW_COMMANDS = [
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


@pytest.mark.parametrize('command, column, values', SHOW_COMMANDS)
def test_show_lists_matching_rows(command, column, values):
    """Guards against lists with missing or additional rows."""
    components = fakes.make_host_components()
    for number, account in ((1, 'a'), (2, 'b')):
        components.refusals.add(
            types.Refusal(f'r{number}', account, 'c', 'why', 'run', 0)
        )
    execute(components, 'RETIRE HOST h2', 'RETIRE HOST h9')
    answer = execute(components, command)
    assert [row[column] for row in answer['rows']] == values
    assert bool(answer['notes']) == (
        'REFUSALS' in command or 'LIMIT' in command
    )


def test_audit_shows_changes_and_events_in_order():
    """Guards against an audit without some of the changes or events."""
    components = fakes.make_host_components()
    execute(components, 'HELP')
    components.clock.set(components.clock.now() + 1_000)
    components.audit.record('failover', 's', 'primary died')
    components.clock.set(components.clock.now() + 1_000)
    execute(components, 'ALTER SERVICE s CLOSED')
    rows = execute(components, 'SHOW AUDIT LIMIT 3')['rows']
    assert [row['kind'] for row in rows] == ['change', 'failover', 'change']
    rows = execute(components, 'SHOW AUDIT FOR s')['rows']
    assert len(rows) == 6
    assert rows[-2]['reason'] == 'primary died'
    components.platform.down = True
    answer = execute(components, 'SHOW AUDIT')
    assert 'incomplete' in answer['notes'][0]
    assert answer['rows']


def test_audit_of_a_new_host_reads_the_stored_changes():
    """Guards against a host that shows only changes since its start."""
    first = fakes.make_host_components()
    execute(first, 'HELP')
    second = fakes.make_host_components(first.platform)
    second.store.apply_rows([fakes.snapshot_row(first.store)])
    rows = execute(second, 'SHOW AUDIT')['rows']
    assert len(rows) == 6
    second.platform.down = True
    notes = execute(second, 'SHOW CONFIGURATION')['notes']
    assert 'cannot be read' in notes[0]


def test_parse_errors_are_raised():
    """Guards against a mistyped command that is recorded as refused."""
    components = fakes.make_host_components()
    with pytest.raises(exceptions.CommandError):
        execute(components, 'DROP TABLE a')
    assert components.audit.buffered_count() == 0
