"""The rows that ``SHOW`` returns."""

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

DEFAULT_ROW_LIMIT = 1_000


class Refusals(Protocol):
    """The latest refusals of this host."""

    def latest(self, account: str, limit: int) -> list[types.Refusal]:
        """Return the latest refusals, oldest first."""


class Listing:
    """Lists the objects known to this host, one row for each."""

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
        """Return the rows that match ``show``, and notes about them."""
        limit = DEFAULT_ROW_LIMIT if show.limit is None else show.limit
        matching_rows = self._all_rows(show, limit)
        if show.subject and show.topic != language.ShowTopic.REFUSALS:
            matching_rows = [
                row
                for row in matching_rows
                if show.subject in _row_names(show.topic, row)
            ]
        notes = []
        if show.topic == language.ShowTopic.REFUSALS:
            notes.append(
                f'refusals of host {self._membership.local.host_id} only'
            )
        if len(matching_rows) > limit:
            notes.append(
                f'{len(matching_rows) - limit} more rows; see LIMIT and FOR'
            )
        return matching_rows[:limit], notes

    def _all_rows(self, show: language.Show, limit: int) -> list[Row]:
        current = self._configuration.current
        match show.topic:
            case language.ShowTopic.HOSTS:
                return self._host_rows(current)
            case language.ShowTopic.ACCOUNTS:
                return _account_rows(current)
            case language.ShowTopic.KEYS:
                return [
                    _key_row(key) for key in _sorted_by_key(current.keys_by_id)
                ]
            case language.ShowTopic.SERVICES:
                return [
                    _service_row(each)
                    for each in _sorted_by_key(current.services_by_name)
                ]
            case language.ShowTopic.TARGETS:
                return [
                    self._target_row(each)
                    for each in _sorted_by_key(current.targets_by_id)
                ]
            case language.ShowTopic.ROUTES:
                return [
                    self._route_row(name) for name in current.services_by_name
                ]
            case language.ShowTopic.REFUSALS:
                refusals = self._refusals.latest(show.subject, limit)
                return [_refusal_row(each) for each in refusals]
        return []

    def _host_rows(self, current: types.Configuration) -> list[Row]:
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
            for host in _sorted_by_key(hosts)
        ]
        unreachable_ids = sorted(current.retired_host_ids - hosts.keys())
        return reachable + [
            {
                'host': host_id,
                'zone': '',
                'status': 'not reachable',
                'version': None,
                'retired': True,
                'url': '',
            }
            for host_id in unreachable_ids
        ]

    def _target_row(self, target: types.Target) -> Row:
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

    def _route_row(self, service: str) -> Row:
        route = self._routes.primary(service)
        if isinstance(route, exceptions.Sentinel):
            return {'service': service, 'primary': '', 'term': None}
        return {
            'service': service,
            'primary': route.primary_target_id,
            'term': route.term,
        }


# The columns with which the name after FOR is compared.
_NAME_COLUMNS = {
    language.ShowTopic.HOSTS: ('host', 'zone'),
    language.ShowTopic.ACCOUNTS: ('account',),
    language.ShowTopic.KEYS: ('key', 'account'),
    language.ShowTopic.SERVICES: ('service',),
    language.ShowTopic.TARGETS: ('target', 'service', 'zone'),
    language.ShowTopic.ROUTES: ('service', 'primary'),
}


def _row_names(topic: language.ShowTopic, row: Row) -> set[Any]:
    return {row[column] for column in _NAME_COLUMNS[topic]}


def _sorted_by_key(
    values_by_key: collections.abc.Mapping[str, Any],
) -> list[Any]:
    return [values_by_key[key] for key in sorted(values_by_key)]


def _account_rows(current: types.Configuration) -> list[Row]:
    key_counts_by_account = collections.Counter(
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
            'keys': key_counts_by_account[account.name],
        }
        for account in _sorted_by_key(current.accounts_by_name)
    ]


def _key_row(key: types.Key) -> Row:
    return {
        'key': key.key_id,
        'account': key.account,
        'role': key.role,
        'state': 'withdrawn' if key.withdrawn else 'valid',
    }


def _service_row(service: types.Service) -> Row:
    return {
        'service': service.name,
        'targets': ', '.join(service.target_ids),
        'max_read_age_ms': service.max_read_age_ms,
        'confirmation': service.confirmation.value,
        'open_as': service.open_account,
    }


def _refusal_row(refusal: types.Refusal) -> Row:
    return {
        'time': explain.format_time(refusal.wall_ms),
        'request': refusal.request_id,
        'account': refusal.account,
        'code': refusal.code,
        'step': refusal.step,
        'reason': refusal.reason,
    }
