"""The rows that `SHOW` answers with."""

import collections
import collections.abc
from typing import Any
from typing import Protocol

from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.operators import explain
from samphirestand.operators import language
from samphirestand import types

Row = dict[str, Any]

LISTED_ROWS = 1_000


class Refusals(Protocol):
    """The latest refusals of this host."""

    def latest(self, account: str, limit: int) -> list[types.Refusal]:
        """Return the latest refusals, oldest first."""


class Listing:
    """Lists what this host knows, one row per thing."""

    def __init__(
        self,
        configuration: interfaces.ConfigurationSource,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        refusals: Refusals,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._routes = routes
        self._refusals = refusals

    def rows(self, show: language.Show) -> tuple[list[Row], list[str]]:
        """Return the rows that match and notes about them."""
        limit = LISTED_ROWS if show.limit is None else show.limit
        found = self._all(show, limit)
        if show.subject and show.what != language.What.REFUSALS:
            found = [
                row for row in found if show.subject in _names(show.what, row)
            ]
        notes = []
        if show.what == language.What.REFUSALS:
            notes.append(
                f'refusals of host {self._membership.local.host_id} only'
            )
        if len(found) > limit:
            notes.append(f'{len(found) - limit} more rows; see LIMIT and FOR')
        return found[:limit], notes

    def _all(self, show: language.Show, limit: int) -> list[Row]:
        current = self._configuration.current
        match show.what:
            case language.What.HOSTS:
                return self._hosts(current)
            case language.What.ACCOUNTS:
                return _accounts(current)
            case language.What.KEYS:
                return [_key(key) for key in _sorted(current.keys_by_id)]
            case language.What.SERVICES:
                return [
                    _service(each)
                    for each in _sorted(current.services_by_name)
                ]
            case language.What.TARGETS:
                return [
                    self._target(each)
                    for each in _sorted(current.targets_by_id)
                ]
            case language.What.ROUTES:
                return [self._route(name) for name in current.services_by_name]
            case language.What.REFUSALS:
                found = self._refusals.latest(show.subject, limit)
                return [_refusal(each) for each in found]
        return []

    def _hosts(self, current: types.Configuration) -> list[Row]:
        hosts = {each.host_id: each for each in self._membership.reachable()}
        reachable = [
            {
                'host': host.host_id,
                'zone': host.zone,
                'status': host.status.value,
                'version': host.configuration_version,
                'retired': host.host_id in current.retired_host_ids,
                'url': host.caller_url,
            }
            for host in _sorted(hosts)
        ]
        missing = sorted(current.retired_host_ids - hosts.keys())
        return reachable + [
            {
                'host': host_id,
                'zone': '',
                'status': 'not reachable',
                'version': None,
                'retired': True,
                'url': '',
            }
            for host_id in missing
        ]

    def _target(self, target: types.Target) -> Row:
        gateway = self._membership.gateway_host(target)
        return {
            'target': target.target_id,
            'service': target.service,
            'zone': target.zone,
            'url': target.url,
            'slots': target.slots,
            'connections': target.connections,
            'state': 'retired' if target.retired else 'in use',
            'gateway': (
                gateway.host_id if isinstance(gateway, types.Host) else ''
            ),
        }

    def _route(self, service: str) -> Row:
        route = self._routes.primary(service)
        if isinstance(route, exceptions.Sentinel):
            return {'service': service, 'primary': '', 'term': None}
        return {
            'service': service,
            'primary': route.primary_target_id,
            'term': route.term,
        }


# The columns that FOR is compared with.
_NAME_COLUMNS = {
    language.What.HOSTS: ('host', 'zone'),
    language.What.ACCOUNTS: ('account',),
    language.What.KEYS: ('key', 'account'),
    language.What.SERVICES: ('service',),
    language.What.TARGETS: ('target', 'service', 'zone'),
    language.What.ROUTES: ('service', 'primary'),
}


def _names(what: language.What, row: Row) -> set[Any]:
    return {row[column] for column in _NAME_COLUMNS[what]}


def _sorted(values_by_key: collections.abc.Mapping[str, Any]) -> list[Any]:
    return [values_by_key[key] for key in sorted(values_by_key)]


def _accounts(current: types.Configuration) -> list[Row]:
    keys_by_account = collections.Counter(
        key.account
        for key in current.keys_by_id.values()
        if key.role == 'caller' and not key.withdrawn
    )
    return [
        {
            'account': account.name,
            'rate': account.rate,
            'burst': account.burst,
            'weight': account.weight,
            'when_isolated': account.when_isolated,
            'keys': keys_by_account[account.name],
        }
        for account in _sorted(current.accounts_by_name)
    ]


def _key(key: types.Key) -> Row:
    return {
        'key': key.key_id,
        'account': key.account,
        'role': key.role,
        'state': 'withdrawn' if key.withdrawn else 'valid',
    }


def _service(service: types.Service) -> Row:
    return {
        'service': service.name,
        'targets': ', '.join(service.target_ids),
        'max_read_age_ms': service.max_read_age_ms,
        'confirmation': service.confirmation.value,
        'open_as': service.open_account,
    }


def _refusal(refusal: types.Refusal) -> Row:
    return {
        'time': explain.moment(refusal.wall_ms),
        'request': refusal.request_id,
        'account': refusal.account,
        'code': refusal.code,
        'step': refusal.step,
        'reason': refusal.reason,
    }
