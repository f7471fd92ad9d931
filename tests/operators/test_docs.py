"""Tests that the operators' page agrees with the program."""

import ast
import asyncio
import pathlib
import re

import pytest
import yaml

from samphirestand import config
from samphirestand.control import bootstrap
from samphirestand.operators import codes
from samphirestand.operators import language
from tests.operators import fakes

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / 'docs/OPERATIONS.md').read_text()

SETUP = (
    'CREATE ACCOUNT dispatch RATE 200 BURST 400',
    'CREATE SERVICE cases',
    *(
        f'ADD TARGET cases-{n} TO SERVICE cases ZONE z{n} URL'
        f" 'ws://127.0.0.1:{n}/session' SLOTS 2 CONNECTIONS 16"
        for n in (1, 2, 3)
    ),
)


def code_blocks(kind):
    return re.findall(rf'^```{kind}\n(.*?)^```$', PAGE, re.DOTALL | re.M)


def test_examples_run():
    """Guards against examples that the program refuses."""
    components = fakes.make_host_components()
    commands = [
        command
        for block in code_blocks('samphirestand')
        for command in language.split_script(block)
    ]
    assert len(commands) > 30

    async def main():
        for command in SETUP:
            await components.commands.execute(command, 'ada')
        key_id = ''
        for command in commands:
            text = command.replace('key-1', key_id)
            text = text.replace(
                'IF VERSION 18',
                f'IF VERSION {components.store.current.version}',
            )
            answer = await components.commands.execute(text, 'ada')
            assert answer['outcome'] in ('done', 'accepted'), (text, answer)
            if command == 'CREATE KEY FOR ACCOUNT workshops':
                key_id = answer['key_id']

    asyncio.run(main())


def test_every_kind_of_command_has_an_example():
    """Guards against commands that the page doesn't show."""
    actions = set()
    for block in code_blocks('samphirestand'):
        for command in language.split_script(block):
            match language.parse(command):
                case language.ChangeConfiguration(change=change):
                    actions.add(change.kind)
                case language.Show(topic=what):
                    actions.add(what)
                case language.Explain(kind=kind):
                    actions.add(kind)
    grammar_actions = set(language.POSITIONAL_FIELDS) | set(language.ShowTopic)
    assert grammar_actions | {'request', 'primary', 'host'} <= actions


def test_settings_example_is_valid_and_complete(tmp_path):
    """Guards against an invalid example, or one without some setting."""
    settings, bootstrap_yaml = code_blocks('yaml')
    path = tmp_path / 'host.yaml'
    path.write_text(settings)
    config.load(path)
    assert yaml.safe_load(settings).keys() == (
        config.SettingsModel.model_fields.keys()
    )
    path.write_text(bootstrap_yaml)
    assert bootstrap.load(path).changes


@pytest.mark.parametrize('code', codes.CODES)
def test_code_is_on_the_page(code):
    """Guards against a code that the page describes differently."""
    entry = codes.CODES[code]
    assert f'| `{code}` | {entry.meaning} | {entry.advice} |' in PAGE


def logged_alarms():
    """Return the events that the source logs as warnings or errors."""
    levels = {'warning', 'error', 'exception', 'critical'}
    for path in (ROOT / 'samphirestand').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(value=ast.Name(id=name), attr=level),
                    args=[ast.Constant(value=str(event)), *_],
                ) if name.lower() in ('log', '_log', 'logger'):
                    if level in levels:
                        yield event


@pytest.mark.parametrize('event', sorted(set(logged_alarms())))
def test_alarm_is_on_the_page(event):
    """Guards against a warning or error that the page doesn't list."""
    assert f'`{event}`' in PAGE


def test_glossary_has_one_line_a_word():
    """Guards against duplicate or unsorted entries."""
    lines = (ROOT / 'docs/glossary.md').read_text().splitlines()[4:]
    words = [line.split('|')[1].strip().lower() for line in lines]
    assert words == sorted(set(words))
    assert {'host', 'target', 'gateway, gateway host'} <= set(words)
