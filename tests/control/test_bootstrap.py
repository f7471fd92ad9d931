"""Tests of the first configuration."""

import asyncio

import pytest

from samphirestand.control import bootstrap
from samphirestand.control import configuration
from samphirestand import exceptions
from tests.control import fakes

FIRST = """
rate_slots: 6
accounts: [{name: a, rate: 1, burst: 2, when_isolated: serve}]
services:
  - name: s
    open_account: a
    targets:
      - {target_id: t, zone: z, url: 'ws://h:1/', slots: 2, connections: 16}
keys:
  - {key_id: k, account: a, secret_sha256: HASH}
  - {key_id: o, account: ada, role: operator, secret_sha256: HASH}
""".replace('HASH', 'a' * 64)


@pytest.fixture
def first(tmp_path):
    path = tmp_path / 'first.yaml'
    path.write_text(FIRST)
    return bootstrap.load(path)


def test_first_version_holds_everything(first):
    """Guards against a fleet that starts with a part of its file."""
    store = fakes.make_store(fakes.FakePlatform())
    asyncio.run(bootstrap.write_first(store, first))
    current = store.current
    assert (current.version, current.rate_slots) == (1, 6)
    assert current.accounts_by_name['a'].when_isolated == 'serve'
    assert current.services_by_name['s'].target_ids == ('t',)
    assert current.keys_by_id['o'].role == 'operator'
    assert asyncio.run(bootstrap.write_first(store, first)) is None


@pytest.mark.parametrize('faults', [[], ['', '', 'lost'], ['', '', 'late']])
def test_hosts_that_start_together_write_one_version(first, faults):
    """Guards against two first versions, or one on top of the other."""
    platform = fakes.FakePlatform()
    stores = [fakes.make_store(platform) for _ in range(2)]
    platform.faults = list(faults)

    async def main():
        return await asyncio.gather(
            *(bootstrap.write_first(store, first) for store in stores)
        )

    results = asyncio.run(main())
    platform.deliver()
    kinds = {type(result) for result in results}
    assert kinds == {configuration.Accepted, configuration.Conflict}
    assert len(platform.history()) == 1
    assert stores[0].current == stores[1].current


# Text that is replaced in the file, by what, part of the message.
INVALID = [
    ('rate: 1,', '', 'create_account a: rate: missing'),
    ('slots: 2,', 'slots: x,', "add_target t: slots: 'x'"),
    ('name: s', 'named: s', 'services.0.name: missing'),
    ('accounts:', 'account:', 'account'),
    ('keys:', 'keys: [', 'not YAML'),
]


@pytest.mark.parametrize('old, new, message', INVALID)
def test_errors_name_the_entry(tmp_path, old, new, message):
    """Guards against errors that don't say which entry is wrong."""
    path = tmp_path / 'first.yaml'
    path.write_text(FIRST.replace(old, new, 1))
    with pytest.raises(exceptions.SettingsError) as caught:
        bootstrap.load(path)
    assert str(path) in caught.value.message
    assert message in caught.value.message
