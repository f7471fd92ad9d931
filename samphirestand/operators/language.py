"""Parser of the operators' language: turns text into data classes."""

import dataclasses
import enum
import re
from typing import Any

import lark

from samphirestand.control import changes
from samphirestand import exceptions

STEP = 'command'

GRAMMAR = r"""
start: (show | explain | help | change) ";"?

show: "SHOW"i what show_option*
!what: "HOSTS"i | "ACCOUNTS"i | "KEYS"i | "SERVICES"i | "TARGETS"i
    | "ROUTES"i | "CONFIGURATION"i | "AUDIT"i | "REFUSALS"i
?show_option: "FOR"i "ACCOUNT"i? _name -> subject
    | "KIND"i _name -> kind
    | "HOURS"i INT -> hours
    | "LIMIT"i INT -> limit

explain: "EXPLAIN"i explained
?explained: "REQUEST"i (NAME | STRING) -> request
    | "PRIMARY"i _name -> primary
    | "HOST"i _name -> host

help: "HELP"i

change: action option*
?option: "IF"i "VERSION"i INT -> if_version
    | "BECAUSE"i STRING -> because
    | "USING"i "CHANGE"i STRING -> using_change
    | "AS"i "CHANGE"i STRING -> as_change

?action: "CREATE"i "ACCOUNT"i _name account_field* -> create_account
    | "ALTER"i "ACCOUNT"i _name account_field* -> alter_account
    | "DROP"i "ACCOUNT"i _name -> drop_account
    | "CREATE"i "KEY"i "FOR"i "ACCOUNT"i _name -> create_key
    | "CREATE"i "KEY"i "FOR"i "OPERATOR"i _name -> create_operator_key
    | "WITHDRAW"i "KEY"i _name -> withdraw_key
    | "CREATE"i "SERVICE"i _name service_field* -> create_service
    | "ALTER"i "SERVICE"i _name service_field* -> alter_service
    | "ADD"i "TARGET"i _name "TO"i "SERVICE"i _name target_field* -> add_target
    | "RETIRE"i "TARGET"i _name -> retire_target
    | "RESTORE"i "TARGET"i _name -> restore_target
    | "RETIRE"i "HOST"i _name -> retire_host
    | "RESTORE"i "HOST"i _name -> restore_host
    | "SET"i "RATE"i "SLOTS"i INT -> set_rate_slots

?account_field: "RATE"i INT -> rate
    | "BURST"i INT -> burst
    | "WEIGHT"i INT -> weight
    | "WHEN"i "ISOLATED"i (SERVE | REFUSE) -> when_isolated
?service_field: "MAX"i "READ"i "AGE"i INT -> max_read_age_ms
    | "CONFIRMATION"i (REPLICATED | TERM) -> confirmation
    | "OPEN"i "AS"i _name -> open_account
    | "CLOSED"i -> closed
?target_field: "ZONE"i _name -> zone
    | "URL"i STRING -> url
    | "SLOTS"i INT -> slots
    | "CONNECTIONS"i INT -> connections

_name: NAME | STRING
SERVE: "SERVE"i
REFUSE: "REFUSE"i
REPLICATED: "REPLICATED"i
TERM: "TERM"i
NAME: /[A-Za-z0-9_.-]+/
INT: /[0-9]+(?![A-Za-z0-9_.-])/
STRING: /'[^'\n]*'|"[^"\n]*"/
COMMENT: /--(?!\S)[^\n]*/
%ignore /\s+/
%ignore COMMENT
"""

# Names used in parse errors for terminals that are not keywords.
TERMINAL_DESCRIPTIONS = {
    'NAME': 'a name',
    'INT': 'a number',
    'STRING': "a text in quotes ('...')",
    'SEMICOLON': "';'",
    '$END': 'the end of the command',
}

HELP = (
    'SHOW HOSTS | ACCOUNTS | KEYS | SERVICES | TARGETS | ROUTES'
    ' [FOR name] [LIMIT n]',
    'SHOW CONFIGURATION',
    'SHOW AUDIT [FOR subject] [KIND kind] [HOURS n] [LIMIT n]',
    'SHOW REFUSALS [FOR ACCOUNT name] [LIMIT n]',
    'EXPLAIN REQUEST id | PRIMARY service | HOST id',
    'CREATE ACCOUNT name RATE n BURST n [WEIGHT n]'
    ' [WHEN ISOLATED SERVE | REFUSE]',
    'ALTER ACCOUNT name [RATE n] [BURST n] [WEIGHT n]'
    ' [WHEN ISOLATED SERVE | REFUSE]',
    'DROP ACCOUNT name',
    'CREATE KEY FOR ACCOUNT name | FOR OPERATOR name',
    'WITHDRAW KEY id',
    'CREATE SERVICE name [MAX READ AGE ms] [CONFIRMATION REPLICATED | TERM]'
    ' [OPEN AS account]',
    'ALTER SERVICE name [MAX READ AGE ms] [CONFIRMATION REPLICATED | TERM]'
    ' [OPEN AS account | CLOSED]',
    "ADD TARGET id TO SERVICE name ZONE zone URL 'ws://...' SLOTS n"
    ' CONNECTIONS n',
    'RETIRE TARGET id, RESTORE TARGET id, RETIRE HOST id, RESTORE HOST id',
    'SET RATE SLOTS n',
    "each change: [IF VERSION n] [BECAUSE 'reason'] [AS CHANGE 'id' |"
    " USING CHANGE 'id']",
    'HELP',
)


class ShowTopic(enum.StrEnum):
    """The lists that ``SHOW`` can return."""

    HOSTS = 'hosts'
    ACCOUNTS = 'accounts'
    KEYS = 'keys'
    SERVICES = 'services'
    TARGETS = 'targets'
    ROUTES = 'routes'
    CONFIGURATION = 'configuration'
    AUDIT = 'audit'
    REFUSALS = 'refusals'


@dataclasses.dataclass(frozen=True)
class Show:
    """``SHOW``; an empty field doesn't filter the rows."""

    topic: ShowTopic
    subject: str = ''
    kind: str = ''
    hours: int | None = None
    limit: int | None = None


@dataclasses.dataclass(frozen=True)
class Explain:
    """``EXPLAIN``; ``kind`` is request, primary or host."""

    kind: str
    subject: str


@dataclasses.dataclass(frozen=True)
class Help:
    """``HELP``"""


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of every change; ``USING CHANGE`` sets ``is_repeated``."""

    if_version: int | None = None
    reason: str = ''
    change_id: str = ''
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True)
class ChangeConfiguration:
    """A command that changes the configuration."""

    change: changes.Change
    options: Options


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """``CREATE KEY``; the key is generated when the command is executed."""

    account: str
    role: changes.Role
    options: Options


Command = Show | Explain | Help | ChangeConfiguration | CreateKey

# Tokens of a script: a quoted text, a comment, any other character.
_SCRIPT_TOKEN = re.compile(
    r"""'[^'\n]*'|"[^"\n]*"|(?P<comment>(?<![^\s;])--(?!\S)[^\n]*)|.""",
    re.DOTALL,
)
_CHANGE_ID = re.compile(r'[A-Za-z0-9_-]{1,60}')

_PARSER = lark.Lark(GRAMMAR, parser='lalr', lexer='contextual')


def parse(text: str) -> Command:
    """Parse one command.

    Raises ``CommandError`` with the position of a syntax error and what is
    allowed there, or with the value that is not allowed.
    """
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedInput as error:
        raise exceptions.CommandError(
            _describe_syntax_error(text, error), step=STEP
        ) from error
    statement: Any = tree.children[0]
    match statement.data:
        case 'show':
            return _build_show(statement)
        case 'explain':
            subject_tree = statement.children[0]
            return Explain(
                subject_tree.data, _token_text(subject_tree.children[0])
            )
        case 'help':
            return Help()
    return _build_change(statement)


def is_change(command: Command) -> bool:
    """Return whether a command changes the configuration."""
    return isinstance(command, ChangeConfiguration | CreateKey)


def split_script(text: str) -> list[str]:
    """Split a script into its commands, which end with a semicolon."""
    commands = ['']
    for match in _SCRIPT_TOKEN.finditer(text):
        if match.group() == ';':
            commands.append('')
        elif match.lastgroup != 'comment':
            commands[-1] += match.group()
    return [each.strip() for each in commands if each.strip()]


def _build_show(tree: Any) -> Show:
    topic = ShowTopic(str(tree.children[0].children[0]).lower())
    values_by_name = _field_values(tree.children[1:])
    if topic != ShowTopic.AUDIT and values_by_name.keys() & {'kind', 'hours'}:
        raise exceptions.CommandError(
            'KIND and HOURS are allowed after SHOW AUDIT only', step=STEP
        )
    return Show(topic, **values_by_name)


def _build_change(tree: Any) -> ChangeConfiguration | CreateKey:
    action, *rest = tree.children
    options = _build_options(rest)
    match action.data:
        case 'create_key':
            return CreateKey(
                _token_text(action.children[0]), 'caller', options
            )
        case 'create_operator_key':
            return CreateKey(
                _token_text(action.children[0]), 'operator', options
            )
    change = changes.from_document(_change_document(action))
    if isinstance(change, exceptions.Sentinel):
        raise exceptions.CommandError(change.reason, step=STEP)
    return ChangeConfiguration(change, options)


# Field names of the positional values at the start of each action.
POSITIONAL_FIELDS = {
    'create_account': ('name',),
    'alter_account': ('name',),
    'drop_account': ('name',),
    'withdraw_key': ('key_id',),
    'create_service': ('name',),
    'alter_service': ('name',),
    'add_target': ('target_id', 'service'),
    'retire_target': ('target_id',),
    'restore_target': ('target_id',),
    'retire_host': ('host_id',),
    'restore_host': ('host_id',),
    'set_rate_slots': ('count',),
}


def _change_document(action: Any) -> dict[str, Any]:
    field_names = POSITIONAL_FIELDS[action.data]
    document = {'kind': str(action.data)}
    for name, token in zip(field_names, action.children, strict=False):
        document[name] = _token_text(token)
    document.update(_field_values(action.children[len(field_names) :]))
    return document


def _build_options(trees: list[Any]) -> Options:
    values_by_name = _field_values(trees)
    repeated_id = values_by_name.get('using_change', '')
    new_id = values_by_name.get('as_change', '')
    if repeated_id and new_id:
        raise exceptions.CommandError(
            'AS CHANGE and USING CHANGE exclude each other', step=STEP
        )
    if (repeated_id or new_id) and not _CHANGE_ID.fullmatch(
        repeated_id or new_id
    ):
        raise exceptions.CommandError(
            f'change id {repeated_id or new_id!r}: 1 to 60 letters, digits, '
            '_ and - are allowed',
            step=STEP,
        )
    return Options(
        values_by_name.get('if_version'),
        values_by_name.get('because', ''),
        repeated_id or new_id,
        bool(repeated_id),
    )


def _field_values(trees: list[Any]) -> dict[str, Any]:
    values_by_name: dict[str, Any] = {}
    for tree in trees:
        name, value = _field_value(tree)
        if name in values_by_name:
            raise exceptions.CommandError(
                f'{name.replace("_", " ")} is given twice', step=STEP
            )
        values_by_name[name] = value
    return values_by_name


def _field_value(tree: Any) -> tuple[str, Any]:
    name = str(tree.data)
    if name == 'closed':
        return 'open_account', ''
    token = tree.children[0]
    if token.type == 'INT':
        return name, int(token)
    if token.type in ('NAME', 'STRING'):
        return name, _token_text(token)
    return name, str(token).lower()


def _token_text(token: Any) -> str:
    return str(token)[1:-1] if token.type == 'STRING' else str(token)


def _describe_syntax_error(text: str, error: lark.UnexpectedInput) -> str:
    position = len(text)
    match error:
        case lark.UnexpectedCharacters(pos_in_stream=int(start)):
            position = start
        case lark.UnexpectedToken(
            token=lark.Token(type=kind, start_pos=int(start))
        ) if kind != '$END':
            position = start

    # The list of expected tokens in the error is not exact: it contains tokens
    # of other rules, because LALR merges states. The interactive parser tries
    # each token.
    parser = _PARSER.parse_interactive(text[:position])
    parser.exhaust_lexer()
    allowed = sorted(
        TERMINAL_DESCRIPTIONS.get(name, name) for name in parser.accepts()
    )

    remaining_words = text[position:].split(maxsplit=1)
    unexpected = repr(remaining_words[0]) if remaining_words else 'the end'
    line = text.count('\n', 0, position) + 1
    column = position - text.rfind('\n', 0, position)
    return (
        f'line {line}, column {column}: unexpected {unexpected}; '
        f'allowed here: {", ".join(allowed)}'
    )
