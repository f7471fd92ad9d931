"""The client of the store, against answers that a test chooses."""

import asyncio
import base64
import json

import pytest
from tornado import httpserver
from tornado import web

from samphirestand import node_settings
from samphirestand.platform import store as store_module
from tests import nodes


def row(key, version):
    value = base64.b64encode(b'{}').decode()
    return {'Table': 't', 'Key': key, 'Value': value, 'Ver': version}


def ask(answers, question):
    """Return the result of ``question(store)`` and the queries it sent."""
    queries = []

    class Handler(web.RequestHandler):
        def get(self):
            queries.append(self.request.query_arguments)
            self.write(json.dumps(answers.pop(0)))

    async def scenario():
        server = httpserver.HTTPServer(
            web.Application(
                [('/-/.*', Handler)], log_function=lambda handler: None
            )
        )
        port = nodes.free_port()
        server.listen(port, '127.0.0.1')
        store = store_module.Store(node_settings.Endpoint('127.0.0.1', port))
        try:
            return await question(store)
        finally:
            store.close()
            server.stop()

    return asyncio.run(scenario()), queries


def test_changes_of_earlier_pages_are_not_missed():
    """Guards against targets that stay unknown until they change again.

    A row of the first page changed in version 8, while the second page was
    read.
    """
    answers = [
        {'rows': [row('a', 3)], 'HasMore': True, 'Ver': 7, 'NowMs': 1},
        {'rows': [row('b', 4)], 'HasMore': False, 'Ver': 8, 'NowMs': 2},
    ]
    found, _ = ask(answers, lambda store: store.read('t'))
    assert [each.key for each in found.rows] == ['a', 'b']
    assert found.version == 7


@pytest.mark.parametrize(
    'odd_row',
    [
        7,
        [],
        {'Table': 't', 'Key': 5},
        {'Table': 't', 'Key': 'a', 'Value': 7},
        {'Table': 't', 'Key': 'a', 'Ver': 'x'},
        {'Table': 't', 'Key': '\ud800'},
    ],
)
def test_row_that_cannot_be_read_does_not_hide_the_others(odd_row):
    """Guards against hosts that stop following a table for one odd row."""
    answers = [{'rows': [odd_row, row('b', 4)], 'HasMore': False, 'Ver': 7}]
    found, _ = ask(answers, lambda store: store.read('t'))
    assert [each.key for each in found.rows] == ['b']


@pytest.mark.parametrize('value', ['!', 'a', '\u00e9', '=' * 9])
def test_value_that_is_not_base64_is_empty(value):
    """Guards against an error in place of an unreadable row."""
    answers = [
        {'rows': [{**row('a', 3), 'Value': value}, row('b', 4)], 'Ver': 7}
    ]
    found, _ = ask(answers, lambda store: store.read('t'))
    assert [each.key for each in found.rows] == ['a', 'b']
    assert found.rows[0].value == b''


def test_one_row_is_asked_for_by_its_key():
    """Guards against reading a whole table for one row."""
    answers = [{'rows': [row('a', 3)], 'HasMore': False, 'Ver': 7}]
    _, [query] = ask(answers, lambda store: store.read('t', 'a'))
    assert query['From'] == [b'a']
    assert query['To'] == [b'a\0']


@pytest.mark.parametrize('odd_era', ['', 'x', '-1', '1.5', '9' * 300, '\xb2'])
def test_era_that_cannot_be_read_changes_nothing(odd_era):
    """Guards against taking odd or late answers for a store that came back."""
    eras = ['3', odd_era, '2', '4', None]

    class Handler(web.RequestHandler):
        def get(self):
            era = eras.pop(0)
            if era is not None:
                self.set_header('Store-Era', era)
            self.write({'rows': [], 'Ver': 1})

    async def scenario():
        server = httpserver.HTTPServer(
            web.Application(
                [('/-/.*', Handler)], log_function=lambda handler: None
            )
        )
        port = nodes.free_port()
        server.listen(port, '127.0.0.1')
        store = store_module.Store(node_settings.Endpoint('127.0.0.1', port))
        seen = []
        while eras:
            await store.read('t')
            seen.append(store.era)
        store.close()
        server.stop()
        return seen

    assert asyncio.run(scenario()) == [3, 3, 3, 4, 4]
