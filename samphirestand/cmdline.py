"""The command-line tool `samphirestand` for operators."""

import argparse
import collections.abc
import pathlib
import readline  # noqa: F401  (enables line editing and history in input())
import secrets
import sys

from samphirestand import config
from samphirestand.control import bootstrap
from samphirestand.control import changes
from samphirestand import exceptions
from samphirestand.operators import display
from samphirestand.operators import host_explain
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
EXIT_WORDS = ('exit', 'quit')

_EXIT_CODES_BY_OUTCOME = {
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

samphirestand explain --help: asks a host on the platform where a request
would go.
"""


class CommandRunner:
    """Runs commands and prints their answers."""

    def __init__(self, hosts: remote.RemoteHosts, output_format: str) -> None:
        self._hosts = hosts
        self._format_answer = (
            display.as_json if output_format == 'json' else display.as_table
        )

    def run(self, command: str) -> int:
        """Run one command and return its exit code."""
        try:
            parsed = language.parse(command)
        except exceptions.CommandError as error:
            return _print_errors(EXIT_USAGE, error.message)
        if isinstance(parsed, language.Help):
            rows = [{'syntax': line} for line in language.HELP]
            print(self._format_answer({'outcome': 'done', 'rows': rows}))
            return EXIT_DONE

        # Generate the change id here, not on the host, so that the command can
        # be repeated even if the host's answer is lost.
        change_id = ''
        sent_command = command
        if isinstance(
            parsed, language.ChangeConfiguration | language.CreateKey
        ):
            change_id = parsed.options.change_id
            if not change_id:
                change_id = secrets.token_hex(CHANGE_ID_BYTES)
                sent_command = f"{command} AS CHANGE '{change_id}'"
        return self._report_result(self._hosts.send(sent_command), change_id)

    def run_commands(self, commands: collections.abc.Sequence[str]) -> int:
        """Run commands until one fails; run none if any can't be parsed.

        Returns the exit code.
        """
        for command in commands:
            try:
                language.parse(command)
            except exceptions.CommandError as error:
                return _print_errors(
                    EXIT_USAGE,
                    f'nothing was run: {command!r}: {error.message}',
                )
        for number, command in enumerate(commands, 1):
            code = self.run(command)
            if code and len(commands) > 1:
                return _print_errors(
                    code,
                    f'stopped at command {number} of {len(commands)}: '
                    f'{command}',
                )
            if code:
                return code
        return EXIT_DONE

    def run_prompt(self) -> int:
        """Read and run commands until end of input or ``exit``."""
        while True:
            try:
                line = input(PROMPT)
            except (EOFError, KeyboardInterrupt):
                print()
                return EXIT_DONE
            if line.strip().lower() in EXIT_WORDS:
                return EXIT_DONE
            for command in language.split_script(line):
                if self.run(command):
                    break

    def _report_result(self, result: remote.Result, change_id: str) -> int:
        match result:
            case remote.Answered(document=document):
                print(self._format_answer(document))
                return _EXIT_CODES_BY_OUTCOME.get(
                    document['outcome'], EXIT_UNKNOWN
                )
            case remote.NotReached(reasons=reasons):
                return _print_errors(
                    EXIT_NOT_REACHED, 'no host reached', *reasons
                )
            case remote.AnswerLost(url=url, reason=reason) if not change_id:
                return _print_errors(
                    EXIT_NOT_REACHED, f'no answer: {url}: {reason}'
                )
            case remote.AnswerLost(url=url, reason=reason):
                return _print_errors(
                    EXIT_UNKNOWN,
                    f'outcome unknown: {url}: {reason}',
                    'the change may have been accepted; repeat the command '
                    f"with USING CHANGE '{change_id}'",
                )


def check_settings(path: pathlib.Path) -> int:
    """Validate a settings file and the files that it names."""
    try:
        settings = config.load(path)
        _check_files_exist(path, settings)
        if settings.bootstrap_file is not None:
            _check_bootstrap(settings.bootstrap_file)
    except exceptions.SettingsError as error:
        return _print_errors(EXIT_USAGE, error.message)
    print(f'{path}: host {settings.host_id} in zone {settings.zone}: valid')
    return EXIT_DONE


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Run the command-line tool and return its exit code."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    if words[:1] == ['explain'] and all(
        each.startswith('-') for each in words[1:2]
    ):
        # Without an option next it is EXPLAIN of the language.
        return host_explain.main(words[1:])
    parser = _build_parser()
    options = parser.parse_args(words)
    command_words = options.command
    if command_words[:1] == ['check']:
        if len(command_words) != 2:
            parser.error('check needs one settings file')
        return check_settings(pathlib.Path(command_words[1]))
    if command_words and options.file:
        parser.error('a command and --file exclude each other')
    try:
        commands = _read_commands(command_words, options.file)
        runner = CommandRunner(_remote_hosts(options), options.format)
    except exceptions.SettingsError as error:
        return _print_errors(EXIT_USAGE, error.message)
    if commands is None:
        return runner.run_prompt()
    return runner.run_commands(commands)


def _build_parser() -> argparse.ArgumentParser:
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


def _read_commands(
    command_words: list[str], file: str | None
) -> list[str] | None:
    """Return the commands to run, or None to read from a prompt."""
    if command_words:
        return language.split_script(' '.join(command_words))
    if file and file != '-':
        return language.split_script(_read_text(file))
    if file or not sys.stdin.isatty():
        return language.split_script(sys.stdin.read())
    return None


def _remote_hosts(options: argparse.Namespace) -> remote.RemoteHosts:
    if not options.host:
        raise _settings_error('--host is missing: at least one URL is needed')
    if not options.key_file:
        raise _settings_error('--key-file is missing')
    key = _read_text(options.key_file).strip()
    if not key.isascii() or not key.isprintable() or ' ' in key or not key:
        raise _settings_error(f'{options.key_file}: not a key')
    addresses = [remote.parse_address(url) for url in options.host]
    return remote.RemoteHosts(addresses, key, options.authority)


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise _settings_error(f'{path}: {error}') from error


def _check_files_exist(path: pathlib.Path, settings: config.Settings) -> None:
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
        f'{path}: {name}: {str(file)!r}: not an existing file'
        for name, file in files.items()
        if file is not None and not file.is_file()
    ]
    if missing:
        raise _settings_error('\n'.join(missing))


def _check_bootstrap(path: pathlib.Path) -> None:
    configuration = changes.apply(types.Configuration(), bootstrap.load(path))
    if isinstance(configuration, exceptions.Sentinel):
        raise _settings_error(f'{path}: {configuration.reason}')


def _settings_error(message: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(message, step='settings')


def _print_errors(code: int, *lines: str) -> int:
    for line in lines:
        print(line, file=sys.stderr)
    return code


if __name__ == '__main__':
    sys.exit(main())
