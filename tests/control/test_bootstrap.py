"""Tests of writing the first configuration from a file."""

import asyncio

import pytest

from samphirestand.control import bootstrap
from samphirestand.control import configuration
from samphirestand import exceptions
from tests.control import fakes

BOOTSTRAP_YAML = """
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
def bootstrap_change(tmp_path):
    path = tmp_path / 'first.yaml'
    path.write_text(BOOTSTRAP_YAML)
    return bootstrap.load(path)


def test_first_version_contains_all_entries(bootstrap_change):
    """Guards against entries of the file that are left out."""
    store = fakes.make_store(fakes.FakePlatform())
    asyncio.run(bootstrap.write_first(store, bootstrap_change))
    current = store.current
    assert (current.version, current.rate_slots) == (1, 6)
    assert current.accounts_by_name['a'].when_isolated == 'serve'
    assert current.services_by_name['s'].target_ids == ('t',)
    assert current.keys_by_id['o'].role == 'operator'
    assert asyncio.run(bootstrap.write_first(store, bootstrap_change)) is None


@pytest.mark.parametrize('faults', [[], ['', '', 'lost'], ['', '', 'late']])
def test_hosts_that_start_together_write_one_version(bootstrap_change, faults):
    """Guards against two first versions, or one applied after the other."""
    platform = fakes.FakePlatform()
    stores = [fakes.make_store(platform) for _ in range(2)]
    platform.faults = list(faults)

    async def main():
        return await asyncio.gather(
            *(
                bootstrap.write_first(store, bootstrap_change)
                for store in stores
            )
        )

    results = asyncio.run(main())
    platform.deliver()
    kinds = {type(result) for result in results}
    assert kinds == {configuration.Accepted, configuration.Conflict}
    assert len(platform.history()) == 1
    assert stores[0].current == stores[1].current


# Text in the file, its replacement, part of the error message.
INVALID_FILES = [
    ('rate: 1,', '', 'create_account a: rate: missing'),
    ('slots: 2,', 'slots: x,', "add_target t: slots: 'x'"),
    ('name: s', 'named: s', 'services.0.name: missing'),
    ('accounts:', 'account:', 'account'),
    ('keys:', 'keys: [', 'not YAML'),
]


@pytest.mark.parametrize('old, new, message', INVALID_FILES)
def test_error_names_the_invalid_entry(tmp_path, old, new, message):
    """Guards against error messages that don't name the invalid entry."""
    path = tmp_path / 'first.yaml'
    path.write_text(BOOTSTRAP_YAML.replace(old, new, 1))
    with pytest.raises(exceptions.SettingsError) as raised:
        bootstrap.load(path)
    assert str(path) in raised.value.message
    assert message in raised.value.message
