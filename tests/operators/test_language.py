"""Tests of parsing the operators' language."""

import pytest

from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand.operators import language
from samphirestand import types

URL = 'ws://127.0.0.1:1/session'
NO_OPTIONS = language.Options()


def change_command(change, **options):
    return language.ChangeConfiguration(change, language.Options(**options))


VALID_COMMANDS = [
    ('show hosts', language.Show(language.ShowTopic.HOSTS)),
    (
        'SHOW AUDIT FOR s KIND failover HOURS 3 LIMIT 4;',
        language.Show(language.ShowTopic.AUDIT, 's', 'failover', 3, 4),
    ),
    (
        'SHOW REFUSALS FOR ACCOUNT a -- of today',
        language.Show(language.ShowTopic.REFUSALS, 'a'),
    ),
    ("EXPLAIN REQUEST 'r 1'", language.Explain('request', 'r 1')),
    (
        'EXPLAIN PRIMARY cases-south',
        language.Explain('primary', 'cases-south'),
    ),
    ('EXPLAIN HOST h1', language.Explain('host', 'h1')),
    ('HELP', language.Help()),
    (
        'CREATE ACCOUNT rate BURST 20\n RATE 10 WEIGHT 2 WHEN ISOLATED SERVE',
        change_command(
            changes.CreateAccount(
                name='rate',
                rate=10,
                burst=20,
                weight=2,
                when_isolated='serve',
            )
        ),
    ),
    (
        "ALTER ACCOUNT a BURST 5 IF VERSION 7 BECAUSE 'it; is'"
        " USING CHANGE 'c1'",
        change_command(
            changes.AlterAccount(name='a', burst=5),
            if_version=7,
            reason='it; is',
            change_id='c1',
            is_repeated=True,
        ),
    ),
    (
        "DROP ACCOUNT a AS CHANGE 'c1'",
        change_command(changes.DropAccount(name='a'), change_id='c1'),
    ),
    (
        'CREATE KEY FOR ACCOUNT a',
        language.CreateKey('a', 'caller', NO_OPTIONS),
    ),
    (
        'CREATE KEY FOR OPERATOR ada',
        language.CreateKey('ada', 'operator', NO_OPTIONS),
    ),
    (
        'WITHDRAW KEY --x_1',
        change_command(changes.WithdrawKey(key_id='--x_1')),
    ),
    ('CREATE SERVICE s', change_command(changes.CreateService(name='s'))),
    (
        'ALTER SERVICE s CLOSED CONFIRMATION TERM MAX READ AGE 5',
        change_command(
            changes.AlterService(
                name='s',
                open_account='',
                confirmation=types.Confirmation.TERM,
                max_read_age_ms=5,
            )
        ),
    ),
    (
        f"ADD TARGET t TO SERVICE s ZONE z URL '{URL}' SLOTS 2 CONNECTIONS 16",
        change_command(
            changes.AddTarget(
                target_id='t',
                service='s',
                zone='z',
                url=URL,
                slots=2,
                connections=16,
            )
        ),
    ),
    ('RETIRE TARGET t', change_command(changes.RetireTarget(target_id='t'))),
    ('RESTORE TARGET t', change_command(changes.RestoreTarget(target_id='t'))),
    ('RETIRE HOST h', change_command(changes.RetireHost(host_id='h'))),
    ('RESTORE HOST h', change_command(changes.RestoreHost(host_id='h'))),
    ('SET RATE SLOTS 12', change_command(changes.SetRateSlots(count=12))),
]


@pytest.mark.parametrize('text, command', VALID_COMMANDS)
def test_valid_command_is_parsed(text, command):
    """Guards against a command that is parsed as another one."""
    assert language.parse(text) == command
    assert language.is_change(command) == isinstance(
        command, language.ChangeConfiguration | language.CreateKey
    )


INVALID_COMMANDS = [
    ('', 'line 1, column 1: unexpected the end; allowed here: ADD, ALTER,'),
    ('SHOW', 'column 5: unexpected the end; allowed here: ACCOUNTS, AUDIT'),
    ('SHOW\nFOO', "line 2, column 1: unexpected 'FOO'; allowed here: ACC"),
    ('EXPLAIN HOST h1 h2', "'h2'; allowed here: ';', the end of the command"),
    ('DROP ACCOUNT a @', "'@'; allowed here: ';', AS, BECAUSE, IF, USING,"),
    (
        'CREATE ACCOUNT a RATE 5x',
        "column 23: unexpected '5x'; allowed here: a",
    ),
    ('CREATE ACCOUNT a RATE 5', 'burst: missing'),
    ('CREATE ACCOUNT a RATE 5 RATE 6 BURST 1', 'rate is given twice'),
    ('CREATE ACCOUNT a.b RATE 5 BURST 1', "name: 'a.b': String should match"),
    ('SET RATE SLOTS 0', "count: '0': Input should be greater than or equal"),
    ('SHOW HOSTS KIND failover', 'allowed after SHOW AUDIT only'),
    ("DROP ACCOUNT a USING CHANGE 'a/b'", 'letters, digits, _ and - are'),
    ("DROP ACCOUNT a AS CHANGE 'a' USING CHANGE 'b'", 'exclude each other'),
]


@pytest.mark.parametrize('text, message', INVALID_COMMANDS)
def test_error_names_position_and_what_is_allowed(text, message):
    """Guards against errors without the position or what is allowed."""
    with pytest.raises(exceptions.CommandError) as raised:
        language.parse(text)
    assert message in raised.value.message


def test_script_is_split_outside_quotes_and_comments():
    """Guards against a semicolon in a text that ends the command."""
    script = (
        '-- the accounts; first\n'
        "DROP ACCOUNT a BECAUSE 'old; -- unused';\n"
        'WITHDRAW KEY --x;  -- last\n;--\nSHOW\nHOSTS'
    )
    assert language.split_script(script) == [
        "DROP ACCOUNT a BECAUSE 'old; -- unused'",
        'WITHDRAW KEY --x',
        'SHOW\nHOSTS',
    ]
