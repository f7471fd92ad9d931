"""Creates the first configuration version from a YAML file."""

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


class _ServiceModel(pydantic.BaseModel):
    """A service and its targets; fields are those of the change classes."""

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


class _FileModel(pydantic.BaseModel):
    """The content of the file that operators write."""

    model_config = pydantic.ConfigDict(extra='forbid')

    rate_slots: int = 9
    accounts: list[dict[str, Any]] = pydantic.Field(default_factory=list)
    services: list[_ServiceModel] = pydantic.Field(default_factory=list)
    keys: list[dict[str, Any]] = pydantic.Field(default_factory=list)

    def documents(self) -> list[dict[str, Any]]:
        """Return change documents in an order in which they can be applied."""
        documents = [{'kind': 'set_rate_slots', 'count': self.rate_slots}]
        documents += [
            {**each, 'kind': 'create_account'} for each in self.accounts
        ]
        for service in self.services:
            documents += service.documents()
        documents += [{**each, 'kind': 'create_key'} for each in self.keys]
        return documents


def load(path: pathlib.Path) -> changes.Bootstrap:
    """Read and validate the file.

    Raises ``SettingsError`` with the file, the entry and what is wrong.
    """
    try:
        model = _FileModel.model_validate(yaml.safe_load(path.read_text()))
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise _settings_error(path, reason) from error
    except yaml.YAMLError as error:
        raise _settings_error(path, f'not YAML: {error}') from error
    except pydantic.ValidationError as error:
        raise _settings_error(
            path, changes.describe_errors(error, 0)
        ) from error

    # Entries are validated one by one, so that an error names the entry.
    entry_changes = []
    for document in model.documents():
        change = changes.from_document(document)
        if isinstance(change, exceptions.Sentinel):
            raise _settings_error(
                path, f'{_entry_name(document)}: {change.reason}'
            )
        entry_changes.append(change)
    return changes.Bootstrap(changes=tuple(entry_changes))  # type: ignore[arg-type]


async def write_first(
    store: configuration.ConfigurationStore,
    bootstrap_change: changes.Bootstrap,
) -> configuration.Result | None:
    """Propose the first configuration version.

    Returns None if the store already has a configuration. All hosts of a
    fleet may do this concurrently: one gets ``Accepted``, each other host
    gets ``Conflict``.
    """
    if store.current.version:
        return None
    return await store.propose(
        configuration.Proposal(
            change=bootstrap_change,
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
            author=AUTHOR,
            reason='first configuration',
            command='BOOTSTRAP',
            if_version=0,
        )
    )


def _entry_name(document: dict[str, Any]) -> str:
    for field in ('target_id', 'key_id', 'name'):
        if field in document:
            return f'{document["kind"]} {document[field]}'
    return str(document['kind'])


def _settings_error(
    path: pathlib.Path, reason: str
) -> exceptions.SettingsError:
    return exceptions.SettingsError(f'{path}: {reason}', step='bootstrap')
