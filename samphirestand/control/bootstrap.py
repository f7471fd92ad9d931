"""Writes the first configuration from a YAML file."""

import pathlib
import secrets
from typing import Any

import pydantic
import yaml

from samphirestand.control import changes
from samphirestand.control import configuration
from samphirestand import exceptions

AUTHOR = 'bootstrap'
CHANGE_ID_BYTES = 8


class _Service(pydantic.BaseModel):
    """A service with its targets, fields as in the change classes."""

    model_config = pydantic.ConfigDict(extra='allow')

    name: str
    targets: list[dict[str, Any]] = pydantic.Field(default_factory=list)

    def documents(self) -> list[dict[str, Any]]:
        """Return the service and its targets as change documents."""
        fields = {'name': self.name, **(self.model_extra or {})}
        return [
            {**fields, 'kind': 'create_service'},
            *(
                {**each, 'service': self.name, 'kind': 'add_target'}
                for each in self.targets
            ),
        ]


class _File(pydantic.BaseModel):
    """The first configuration as operators write it."""

    model_config = pydantic.ConfigDict(extra='forbid')

    rate_slots: int = 9
    accounts: list[dict[str, Any]] = pydantic.Field(default_factory=list)
    services: list[_Service] = pydantic.Field(default_factory=list)
    keys: list[dict[str, Any]] = pydantic.Field(default_factory=list)

    def documents(self) -> list[dict[str, Any]]:
        """Return change documents in an order in which they apply."""
        found = [{'kind': 'set_rate_slots', 'count': self.rate_slots}]
        found += [{**each, 'kind': 'create_account'} for each in self.accounts]
        for service in self.services:
            found += service.documents()
        found += [{**each, 'kind': 'create_key'} for each in self.keys]
        return found


def load(path: pathlib.Path) -> changes.Bootstrap:
    """Read the file; raises ``SettingsError`` that says what is wrong."""
    try:
        model = _File.model_validate(yaml.safe_load(path.read_text()))
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise _invalid(path, reason) from error
    except yaml.YAMLError as error:
        raise _invalid(path, f'not YAML: {error}') from error
    except pydantic.ValidationError as error:
        raise _invalid(path, changes.describe(error, 0)) from error

    # Each entry is checked on its own, so that an error names the entry.
    found = []
    for document in model.documents():
        change = changes.from_document(document)
        if isinstance(change, exceptions.Sentinel):
            raise _invalid(path, f'{_name(document)}: {change.reason}')
        found.append(change)
    return changes.Bootstrap(changes=tuple(found))  # type: ignore[arg-type]


async def write_first(
    store: configuration.ConfigurationStore, first: changes.Bootstrap
) -> configuration.Result | None:
    """Write ``first`` unless there is a configuration; None if there is.

    All hosts of a fleet may do this at once: one of them wins and the
    others get ``Conflict``.
    """
    if store.current.version:
        return None
    return await store.propose(
        configuration.Proposal(
            change=first,
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
            author=AUTHOR,
            reason='first configuration',
            command='BOOTSTRAP',
            if_version=0,
        )
    )


def _name(document: dict[str, Any]) -> str:
    for field in ('target_id', 'key_id', 'name'):
        if field in document:
            return f'{document["kind"]} {document[field]}'
    return str(document['kind'])


def _invalid(path: pathlib.Path, reason: str) -> exceptions.SettingsError:
    return exceptions.SettingsError(f'{path}: {reason}', step='bootstrap')
