"""Explains what this host would do with a request, as its entry host."""

import dataclasses
import enum
from typing import Any

from samphirestand import catalog as catalog_module
from samphirestand import exceptions
from samphirestand.fleet import evacuations as evacuations_module
from samphirestand.fleet import service as service_module
from samphirestand.fleet import watch
from samphirestand.gateway import explanation
from samphirestand.sessions import session as session_module
from samphirestand import work as work_module

__all__ = ['EntryExplainer', 'Inquiry', 'Kind', 'parse_inquiry']

# The longest name of an account or a database.
MAX_NAME_BYTES = 200

_FIELDS = ('account', 'database', 'kind')


class Kind(enum.StrEnum):
    """What a caller asks for."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    BEGIN_READ = 'begin-read'


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """The request to explain; ``account`` is '' for a caller without a key."""

    account: str
    database: str
    kind: Kind


def parse_inquiry(
    arguments: dict[str, list[bytes]],
) -> Inquiry | exceptions.Sentinel:
    """Return the inquiry of a query string, or what is wrong with it.

    The reason repeats nothing of the input, which may be a key.
    """
    if sorted(arguments) != sorted(_FIELDS) or any(
        len(each) != 1 for each in arguments.values()
    ):
        return exceptions.Sentinel(
            f'exactly one of each is needed: {", ".join(_FIELDS)}'
        )
    values = {}
    for name in _FIELDS:
        [raw] = arguments[name]
        if len(raw) > MAX_NAME_BYTES:
            return exceptions.Sentinel(
                f'{name}: more than {MAX_NAME_BYTES} bytes'
            )
        try:
            values[name] = raw.decode()
        except UnicodeDecodeError:
            return exceptions.Sentinel(f'{name}: not UTF-8')
        if not values[name].isprintable():
            return exceptions.Sentinel(f'{name}: unprintable characters')
    if not values['database']:
        return exceptions.Sentinel('database: empty')
    if values['kind'] not in list(Kind):
        return exceptions.Sentinel(f'kind: one of {", ".join(Kind)}')
    return Inquiry(values['account'], values['database'], Kind(values['kind']))


class EntryExplainer:
    """Explains requests, one at a time; see ``EntryExplainer.explain``."""

    def __init__(
        self,
        host_id: str,
        context: session_module.Context,
        dispatcher: service_module.PeerDispatcher,
        catalog: watch.CatalogWatch,
        evacuations: evacuations_module.Evacuations,
    ) -> None:
        self._host_id = host_id
        self._context = context
        self._dispatcher = dispatcher
        self._catalog = catalog
        self._evacuations = evacuations
        self.is_busy = False

    async def explain(self, inquiry: Inquiry) -> dict[str, Any]:
        """Return where a request would go now, and why, as JSON objects.

        Nothing changes by it and nothing is sent to a target. Keys aren't
        shown: a name that is no account's isn't repeated, since it may be one.
        """
        self.is_busy = True
        try:
            return await self._explain(inquiry)
        finally:
            self.is_busy = False

    async def _explain(self, inquiry: Inquiry) -> dict[str, Any]:
        catalog = self._catalog.current
        route = catalog.routes_by_database.get(inquiry.database)
        document: dict[str, Any] = {
            'host': self._host_id,
            'kind': inquiry.kind,
            'configuration': {
                'version': catalog.version,
                'age_ms': self._catalog.age_ms,
            },
            'account': _account(catalog, inquiry.account),
            'route': None if route is None else _route(route),
            'service': '' if route is None else route.service,
            'evacuations': [
                {'zone': zone, 'age_ms': age_ms}
                for zone, age_ms in sorted(
                    self._evacuations.ages_by_zone().items()
                )
            ],
            'gateway': None,
        }
        refusal_or_work = self._admit(catalog, inquiry)
        if isinstance(refusal_or_work, work_module.Refused):
            decision = explanation.refused(refusal_or_work)
            return document | explanation.as_document(
                explanation.GatewayPart(decision)
            )
        host_id, reason, part = await self._dispatcher.explain(refusal_or_work)
        document['gateway'] = {'host': host_id, 'reason': reason}
        if isinstance(part, exceptions.Sentinel):
            document['gateway']['unanswered'] = part.reason
            part = explanation.GatewayPart(
                explanation.Decision(
                    explanation.Outcome.UNKNOWN,
                    f'no answer of the gateway host: {part.reason}',
                )
            )
        return document | explanation.as_document(part)

    def _admit(
        self, catalog: catalog_module.Catalog, inquiry: Inquiry
    ) -> work_module.Work | work_module.Refused:
        """Return the work of a request, or why this host refuses it."""
        has_key = inquiry.account in catalog.account_names_by_key.values()
        admission = session_module.admit(
            catalog, inquiry.database, inquiry.account if has_key else None
        )
        if self._context.stopping.refuses_work:
            return work_module.Refused('BUSY', session_module.STOPPING_REASON)
        if isinstance(admission, work_module.Refused):
            return admission
        begins = inquiry.kind in (Kind.BEGIN, Kind.BEGIN_READ)
        stage = work_module.Stage.OPEN if begins else work_module.Stage.SINGLE
        return dataclasses.replace(
            session_module.build_work(admission, '', '', stage),
            writes=inquiry.kind is Kind.WRITE,
            read_only=inquiry.kind is Kind.BEGIN_READ,
        )


def _account(catalog: catalog_module.Catalog, name: str) -> dict[str, Any]:
    account = catalog.accounts_by_name.get(name)
    if account is None:
        return {'known': False}
    return {
        'known': True,
        'name': name,
        'keys': list(catalog.account_names_by_key.values()).count(name),
        'rate': account.rate,
        'burst': account.burst,
        'weight': account.weight,
    }


def _route(route: catalog_module.Route) -> dict[str, Any]:
    return {
        'database': route.database,
        'kind': route.consistency,
        'max_age_ms': route.max_age_ms,
        'timeout_ms': route.timeout_ms,
        'objective_ms': route.objective_ms,
        'priority': route.priority,
        'needs_key': route.needs_key,
    }
