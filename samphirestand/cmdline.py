"""The command-line tool `samphirestand` for operators."""

import argparse
import collections.abc
import pathlib
import readline  # noqa: F401  (input() then edits lines and keeps history)
import secrets
import sys

from samphirestand import config
from samphirestand.control import bootstrap
from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand.operators import display
from samphirestand.operators import language
from samphirestand.operators import remote
from samphirestand import types

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_NOT_REACHED = 4

CHANGE_ID_BYTES = 8
PROMPT = 'samphirestand> '
LEAVE = ('exit', 'quit')

_EXIT_BY_OUTCOME = {
    'done': EXIT_DONE,
    'accepted': EXIT_DONE,
    'refused': EXIT_REFUSED,
    'conflict': EXIT_REFUSED,
    'not_run': EXIT_REFUSED,
    'unknown': EXIT_UNKNOWN,
}

_EPILOG = """\
exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 unknown outcome
of a change, 4 no host reached. Without a command or a script, commands are
read from a prompt. HELP lists the commands.
"""


class Tool:
    """Runs commands and shows their answers."""

    def __init__(self, hosts: remote.Remote, form: str) -> None:
        self._hosts = hosts
        self._show = display.as_json if form == 'json' else display.as_table

    def run(self, command: str) -> int:
        """Run one command; return its exit code."""
        try:
            parsed = language.parse(command)
        except exceptions.CommandError as error:
            return _fail(EXIT_USAGE, error.message)
        if isinstance(parsed, language.Help):
            rows = [{'syntax': line} for line in language.HELP]
            print(self._show({'outcome': 'done', 'rows': rows}))
            return EXIT_DONE

        # The change id is chosen here, so that the command can be repeated
        # even if the host's answer is lost.
        change_id = ''
        sent = command
        if isinstance(parsed, language.Alter | language.CreateKey):
            change_id = parsed.options.change_id
            if not change_id:
                change_id = secrets.token_hex(CHANGE_ID_BYTES)
                sent = f"{command} AS CHANGE '{change_id}'"
        return self._finish(self._hosts.send(sent), change_id)

    def run_all(self, commands: collections.abc.Sequence[str]) -> int:
        """Run commands until one fails; none if one can't be parsed."""
        for command in commands:
            try:
                language.parse(command)
            except exceptions.CommandError as error:
                return _fail(
                    EXIT_USAGE,
                    f'nothing was run: {command!r}: {error.message}',
                )
        for number, command in enumerate(commands, 1):
            code = self.run(command)
            if code and len(commands) > 1:
                return _fail(
                    code,
                    f'stopped at command {number} of {len(commands)}: '
                    f'{command}',
                )
            if code:
                return code
        return EXIT_DONE

    def prompt(self) -> int:
        """Read commands from a prompt until its end."""
        while True:
            try:
                line = input(PROMPT)
            except (EOFError, KeyboardInterrupt):
                print()
                return EXIT_DONE
            if line.strip().lower() in LEAVE:
                return EXIT_DONE
            for command in language.split(line):
                if self.run(command):
                    break

    def _finish(self, result: remote.Result, change_id: str) -> int:
        match result:
            case remote.Answered(document=document):
                print(self._show(document))
                return _EXIT_BY_OUTCOME.get(document['outcome'], EXIT_UNKNOWN)
            case remote.NotReached(reasons=reasons):
                return _fail(EXIT_NOT_REACHED, 'no host reached', *reasons)
            case remote.Lost(url=url, reason=reason) if not change_id:
                return _fail(EXIT_NOT_REACHED, f'no answer: {url}: {reason}')
            case remote.Lost(url=url, reason=reason):
                return _fail(
                    EXIT_UNKNOWN,
                    f'outcome unknown: {url}: {reason}',
                    'the change may have been accepted; repeat the command '
                    f"with USING CHANGE '{change_id}'",
                )


def check(path: pathlib.Path) -> int:
    """Check a settings file and the files that it names."""
    try:
        settings = config.load(path)
        _check_files(path, settings)
        if settings.bootstrap_file is not None:
            _check_bootstrap(settings.bootstrap_file)
    except exceptions.SettingsError as error:
        return _fail(EXIT_USAGE, error.message)
    print(f'{path}: host {settings.host_id} in zone {settings.zone}: valid')
    return EXIT_DONE


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Run the tool; return the exit code."""
    parser = _parser()
    chosen = parser.parse_args(arguments)
    words = chosen.command
    if words[:1] == ['check']:
        if len(words) != 2:
            parser.error('check needs one settings file')
        return check(pathlib.Path(words[1]))
    if words and chosen.file:
        parser.error('a command and --file exclude each other')
    try:
        commands = _commands(words, chosen.file)
        tool = Tool(_hosts(chosen), chosen.format)
    except exceptions.SettingsError as error:
        return _fail(EXIT_USAGE, error.message)
    if commands is None:
        return tool.prompt()
    return tool.run_all(commands)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='samphirestand',
        description=__doc__,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        'command',
        nargs='*',
        help='a command of the language, or: check SETTINGS',
    )
    parser.add_argument('--file', help='a script; - for the standard input')
    parser.add_argument(
        '--host',
        action='append',
        default=[],
        metavar='URL',
        help='a host; repeated: the next one if nothing could be sent',
    )
    parser.add_argument('--key-file', help='a file that holds an operator key')
    parser.add_argument(
        '--authority', metavar='FILE', help='certificates to trust for https'
    )
    parser.add_argument('--format', choices=('table', 'json'), default='table')
    return parser


def _commands(words: list[str], file: str | None) -> list[str] | None:
    """Return the commands to run, None for a prompt."""
    if words:
        return language.split(' '.join(words))
    if file and file != '-':
        return language.split(_read(file))
    if file or not sys.stdin.isatty():
        return language.split(sys.stdin.read())
    return None


def _hosts(chosen: argparse.Namespace) -> remote.Remote:
    if not chosen.host:
        raise _invalid('--host is missing: at least one URL is needed')
    if not chosen.key_file:
        raise _invalid('--key-file is missing')
    key = _read(chosen.key_file).strip()
    if not key.isascii() or not key.isprintable() or ' ' in key or not key:
        raise _invalid(f'{chosen.key_file}: not a key')
    addresses = [remote.parse_address(url) for url in chosen.host]
    return remote.Remote(addresses, key, chosen.authority)


def _read(path: str) -> str:
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise _invalid(f'{path}: {error}') from error


def _check_files(path: pathlib.Path, settings: config.Settings) -> None:
    files = {
        'fleet_secret_file': settings.fleet_secret_file,
        'token_secrets_file': settings.token_secrets_file,
        'bootstrap_file': settings.bootstrap_file,
    }
    for name in ('caller_tls', 'peer_tls'):
        tls = getattr(settings, name)
        if tls is not None:
            files[f'{name}.certificate_file'] = tls.certificate_file
            files[f'{name}.key_file'] = tls.key_file
            files[f'{name}.authority_file'] = tls.authority_file
    missing = [
        f'{path}: {name}: {str(file)!r}: an existing file is needed'
        for name, file in files.items()
        if file is not None and not file.is_file()
    ]
    if missing:
        raise _invalid('\n'.join(missing))


def _check_bootstrap(path: pathlib.Path) -> None:
    first = changes.apply(types.Configuration(), bootstrap.load(path))
    if isinstance(first, exceptions.Sentinel):
        raise _invalid(f'{path}: {first.reason}')


def _invalid(message: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(message, step='settings')


def _fail(code: int, *lines: str) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return code


if __name__ == '__main__':
    sys.exit(main())
