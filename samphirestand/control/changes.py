"""Configuration changes: a data class for each kind, and its effect."""

import collections.abc
import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic

from samphirestand import exceptions
from samphirestand import types

# Confirmed writes and elections need two of the three servers of a service.
TARGETS_PER_SERVICE = 3
MIN_TARGETS_IN_USE = 2

# No dots or slashes: they separate the parts of transaction ids and request
# keys.
Name = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9_-]{1,60}$')]
OptionalName = Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9_-]{0,60}$')]
Rate = Annotated[int, pydantic.Field(ge=1, le=10_000_000)]
Weight = Annotated[int, pydantic.Field(ge=1, le=1_000)]
AgeMs = Annotated[int, pydantic.Field(ge=0, le=86_400_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
# At least 5: one connection for the lock, three for control, one for requests.
Connections = Annotated[int, pydantic.Field(ge=5, le=100_000)]
Url = Annotated[str, pydantic.Field(pattern=r'^wss?://[^\s/]+(/\S*)?$')]
Sha256 = Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
WhenIsolated = Literal['refuse', 'serve']
Role = Literal['caller', 'operator']

_FORBID_EXTRA_FIELDS = pydantic.ConfigDict(extra='forbid')


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreateAccount:
    """Adds a client account; rate in requests per second."""

    name: Name
    rate: Rate
    burst: Rate
    weight: Weight = 1
    when_isolated: WhenIsolated = 'refuse'
    kind: Literal['create_account'] = 'create_account'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class AlterAccount:
    """Changes the given fields of a client account."""

    name: Name
    rate: Rate | None = None
    burst: Rate | None = None
    weight: Weight | None = None
    when_isolated: WhenIsolated | None = None
    kind: Literal['alter_account'] = 'alter_account'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class DropAccount:
    """Removes a client account and withdraws its keys."""

    name: Name
    kind: Literal['drop_account'] = 'drop_account'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreateKey:
    """Adds a key.

    For the role ``operator``, ``account`` is the name of the operator.
    """

    key_id: Name
    account: Name
    secret_sha256: Sha256
    role: Role = 'caller'
    kind: Literal['create_key'] = 'create_key'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class WithdrawKey:
    """Makes a key invalid permanently."""

    key_id: Name
    kind: Literal['withdraw_key'] = 'withdraw_key'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class CreateService:
    """Adds a database service without targets."""

    name: Name
    max_read_age_ms: AgeMs = 0
    confirmation: types.Confirmation = types.Confirmation.REPLICATED
    open_account: OptionalName = ''
    kind: Literal['create_service'] = 'create_service'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class AlterService:
    """Changes the given fields of a service.

    An empty ``open_account`` closes the route: requests then need a key.
    """

    name: Name
    max_read_age_ms: AgeMs | None = None
    confirmation: types.Confirmation | None = None
    open_account: OptionalName | None = None
    kind: Literal['alter_service'] = 'alter_service'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddTarget:
    """Adds a database server to a service."""

    target_id: Name
    service: Name
    zone: Name
    url: Url
    slots: Count
    connections: Connections
    kind: Literal['add_target'] = 'add_target'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetireTarget:
    """Takes a target out of use."""

    target_id: Name
    kind: Literal['retire_target'] = 'retire_target'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoreTarget:
    """Takes a retired target into use again."""

    target_id: Name
    kind: Literal['restore_target'] = 'restore_target'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetireHost:
    """Takes a host out of use."""

    host_id: Name
    kind: Literal['retire_host'] = 'retire_host'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestoreHost:
    """Takes a retired host into use again."""

    host_id: Name
    kind: Literal['restore_host'] = 'restore_host'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


@dataclasses.dataclass(frozen=True, kw_only=True)
class SetRateSlots:
    """Sets the number of rate slots of the fleet."""

    count: Count
    kind: Literal['set_rate_slots'] = 'set_rate_slots'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


SingleChange = Annotated[
    CreateAccount
    | AlterAccount
    | DropAccount
    | CreateKey
    | WithdrawKey
    | CreateService
    | AlterService
    | AddTarget
    | RetireTarget
    | RestoreTarget
    | RetireHost
    | RestoreHost
    | SetRateSlots,
    pydantic.Field(discriminator='kind'),
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bootstrap:
    """Creates the first configuration version from several changes."""

    changes: tuple[SingleChange, ...]
    kind: Literal['bootstrap'] = 'bootstrap'
    __pydantic_config__ = _FORBID_EXTRA_FIELDS


Change = (
    CreateAccount
    | AlterAccount
    | DropAccount
    | CreateKey
    | WithdrawKey
    | CreateService
    | AlterService
    | AddTarget
    | RetireTarget
    | RestoreTarget
    | RetireHost
    | RestoreHost
    | SetRateSlots
    | Bootstrap
)

_CHANGE: pydantic.TypeAdapter[Change] = pydantic.TypeAdapter(
    Annotated[Change, pydantic.Field(discriminator='kind')]
)


def to_document(change: Change) -> dict[str, Any]:
    """Return ``change`` as a JSON document."""
    return _CHANGE.dump_python(change, mode='json')


def from_document(document: Any) -> Change | exceptions.Sentinel:
    """Parse a change.

    For an invalid document, returns a sentinel that names the field, its
    value and what is allowed; likewise for a kind that this release doesn't
    know.
    """
    try:
        return _CHANGE.validate_python(document)
    except pydantic.ValidationError as error:
        return exceptions.Sentinel(describe_errors(error))


def validate(change: Change) -> Change | exceptions.Sentinel:
    """Validate a change that was built in code, not parsed."""
    return from_document(to_document(change))


def describe_errors(error: pydantic.ValidationError, skip: int = 1) -> str:
    """Describe each invalid field: its path, value and what is allowed.

    ``skip`` is how many leading parts of each path are left out: in a change
    the first part is the kind.
    """
    return '; '.join(_describe_error(each, skip) for each in error.errors())


def _describe_error(error: Any, skip: int) -> str:
    field_path = (
        '.'.join(str(part) for part in error['loc'][skip:]) or 'document'
    )
    if error['type'] in ('missing', 'missing_argument'):
        return f'{field_path}: missing'
    return f'{field_path}: {error["input"]!r}: {error["msg"]}'


def is_same_command(first: Change, second: Change) -> bool:
    """Return whether two changes come from the same command.

    A repeated ``CREATE KEY`` has a new random id and secret, so these are not
    compared.
    """
    if isinstance(first, CreateKey) and isinstance(second, CreateKey):
        return (first.account, first.role) == (second.account, second.role)
    return first == second


def apply(
    configuration: types.Configuration, change: Change
) -> types.Configuration | exceptions.Sentinel:
    """Return the next version, or a sentinel with the reason for refusal."""
    if isinstance(change, Bootstrap):
        result = _apply_bootstrap(configuration, change)
    else:
        result = _apply_one(configuration, change)
    if isinstance(result, exceptions.Sentinel):
        return result
    return dataclasses.replace(result, version=configuration.version + 1)


Result = types.Configuration | exceptions.Sentinel


def _apply_one(configuration: types.Configuration, change: Change) -> Result:
    match change:
        case CreateAccount():
            return _create_account(configuration, change)
        case AlterAccount():
            return _alter_account(configuration, change)
        case DropAccount(name=name):
            return _drop_account(configuration, name)
        case CreateKey():
            return _create_key(configuration, change)
        case WithdrawKey(key_id=key_id):
            return _withdraw_key(configuration, key_id)
        case CreateService():
            return _create_service(configuration, change)
        case AlterService():
            return _alter_service(configuration, change)
        case AddTarget():
            return _add_target(configuration, change)
        case RetireTarget(target_id=target_id):
            return _retire_target(configuration, target_id)
        case RestoreTarget(target_id=target_id):
            return _restore_target(configuration, target_id)
        case RetireHost(host_id=host_id):
            return _retire_host(configuration, host_id)
        case RestoreHost(host_id=host_id):
            return _restore_host(configuration, host_id)
        case SetRateSlots(count=count):
            return dataclasses.replace(configuration, rate_slots=count)
        case _:
            return exceptions.Sentinel(f'unknown change {change!r}')


def _apply_bootstrap(
    configuration: types.Configuration, change: Bootstrap
) -> Result:
    if configuration.version:
        return exceptions.Sentinel('a configuration exists already')
    for each in change.changes:
        result = _apply_one(configuration, each)
        if isinstance(result, exceptions.Sentinel):
            return result
        configuration = result
    return configuration


Value = TypeVar('Value')


def _with_entry(
    values_by_key: dict[str, Value], key: str, value: Value
) -> dict[str, Value]:
    return {**values_by_key, key: value}


def _given_values(
    change: Any, fields: collections.abc.Iterable[str]
) -> dict[str, Any]:
    values_by_field = {name: getattr(change, name) for name in fields}
    return {
        name: value
        for name, value in values_by_field.items()
        if value is not None
    }


def _create_account(
    configuration: types.Configuration, change: CreateAccount
) -> Result:
    if change.name in configuration.accounts_by_name:
        return exceptions.Sentinel(f'account {change.name} exists already')
    account = types.Account(
        change.name,
        change.rate,
        change.burst,
        change.weight,
        change.when_isolated,
    )
    return dataclasses.replace(
        configuration,
        accounts_by_name=_with_entry(
            configuration.accounts_by_name, change.name, account
        ),
    )


def _alter_account(
    configuration: types.Configuration, change: AlterAccount
) -> Result:
    account = configuration.accounts_by_name.get(change.name)
    if account is None:
        return exceptions.Sentinel(f'there is no account {change.name}')
    values = _given_values(
        change, ('rate', 'burst', 'weight', 'when_isolated')
    )
    if not values:
        return exceptions.Sentinel('no field to change was given')
    account = dataclasses.replace(account, **values)
    return dataclasses.replace(
        configuration,
        accounts_by_name=_with_entry(
            configuration.accounts_by_name, change.name, account
        ),
    )


def _drop_account(configuration: types.Configuration, name: str) -> Result:
    if name not in configuration.accounts_by_name:
        return exceptions.Sentinel(f'there is no account {name}')
    for service in configuration.services_by_name.values():
        if service.open_account == name:
            return exceptions.Sentinel(
                f'service {service.name} is open as account {name}'
            )
    accounts_by_name = dict(configuration.accounts_by_name)
    del accounts_by_name[name]

    # The keys stay in the configuration as withdrawn, so that an account
    # created later under the same name doesn't make them valid again.
    keys_by_id = {
        key_id: dataclasses.replace(key, withdrawn=True)
        if key.account == name and key.role == 'caller'
        else key
        for key_id, key in configuration.keys_by_id.items()
    }
    return dataclasses.replace(
        configuration, accounts_by_name=accounts_by_name, keys_by_id=keys_by_id
    )


def _create_key(
    configuration: types.Configuration, change: CreateKey
) -> Result:
    if change.key_id in configuration.keys_by_id:
        return exceptions.Sentinel(f'key {change.key_id} exists already')
    is_caller = change.role == 'caller'
    if is_caller and change.account not in configuration.accounts_by_name:
        return exceptions.Sentinel(f'there is no account {change.account}')
    key = types.Key(
        change.key_id, change.account, change.secret_sha256, change.role
    )
    return dataclasses.replace(
        configuration,
        keys_by_id=_with_entry(configuration.keys_by_id, change.key_id, key),
    )


def _withdraw_key(configuration: types.Configuration, key_id: str) -> Result:
    key = configuration.keys_by_id.get(key_id)
    if key is None:
        return exceptions.Sentinel(f'there is no key {key_id}')
    if key.withdrawn:
        return exceptions.Sentinel(f'key {key_id} is withdrawn already')
    key = dataclasses.replace(key, withdrawn=True)
    return dataclasses.replace(
        configuration,
        keys_by_id=_with_entry(configuration.keys_by_id, key_id, key),
    )


def _is_open_account_missing(
    configuration: types.Configuration, account: str | None
) -> bool:
    return bool(account) and account not in configuration.accounts_by_name


def _create_service(
    configuration: types.Configuration, change: CreateService
) -> Result:
    if change.name in configuration.services_by_name:
        return exceptions.Sentinel(f'service {change.name} exists already')
    if _is_open_account_missing(configuration, change.open_account):
        return exceptions.Sentinel(
            f'there is no account {change.open_account}'
        )
    service = types.Service(
        change.name,
        (),
        change.max_read_age_ms,
        change.confirmation,
        change.open_account,
    )
    return _with_service(configuration, service)


def _alter_service(
    configuration: types.Configuration, change: AlterService
) -> Result:
    service = configuration.services_by_name.get(change.name)
    if service is None:
        return exceptions.Sentinel(f'there is no service {change.name}')
    if _is_open_account_missing(configuration, change.open_account):
        return exceptions.Sentinel(
            f'there is no account {change.open_account}'
        )
    values = _given_values(
        change, ('max_read_age_ms', 'confirmation', 'open_account')
    )
    if not values:
        return exceptions.Sentinel('no field to change was given')
    return _with_service(configuration, dataclasses.replace(service, **values))


def _with_service(
    configuration: types.Configuration, service: types.Service
) -> types.Configuration:
    return dataclasses.replace(
        configuration,
        services_by_name=_with_entry(
            configuration.services_by_name, service.name, service
        ),
    )


def _add_target(
    configuration: types.Configuration, change: AddTarget
) -> Result:
    service = configuration.services_by_name.get(change.service)
    if service is None:
        return exceptions.Sentinel(f'there is no service {change.service}')
    if change.target_id in configuration.targets_by_id:
        return exceptions.Sentinel(f'target {change.target_id} exists already')
    target = types.Target(
        change.target_id,
        change.service,
        change.zone,
        change.url,
        change.slots,
        change.connections,
    )
    if conflict := _placement_conflict(configuration, target):
        return exceptions.Sentinel(conflict)
    target_ids = (*service.target_ids, target.target_id)
    return _with_service(
        _with_target(configuration, target),
        dataclasses.replace(service, target_ids=target_ids),
    )


def _with_target(
    configuration: types.Configuration, target: types.Target
) -> types.Configuration:
    return dataclasses.replace(
        configuration,
        targets_by_id=_with_entry(
            configuration.targets_by_id, target.target_id, target
        ),
    )


def _targets_in_use(
    configuration: types.Configuration, service: str
) -> list[types.Target]:
    targets = (
        configuration.targets_by_id[target_id]
        for target_id in configuration.services_by_name[service].target_ids
    )
    return [target for target in targets if not target.retired]


def _placement_conflict(
    configuration: types.Configuration, target: types.Target
) -> str:
    targets = _targets_in_use(configuration, target.service)
    if len(targets) >= TARGETS_PER_SERVICE:
        return (
            f'service {target.service} has {len(targets)} targets in use, '
            f'at most {TARGETS_PER_SERVICE} are allowed'
        )
    for each in targets:
        if each.zone == target.zone:
            return (
                f'target {each.target_id} of service {target.service} is in '
                f'availability zone {each.zone}, each target needs its own'
            )

    # Two targets with the same server would count its slots and its vote
    # twice.
    for each in configuration.targets_by_id.values():
        if each.url == target.url and not each.retired:
            return f'target {each.target_id} has the URL {each.url}'
    return ''


def _retire_target(
    configuration: types.Configuration, target_id: str
) -> Result:
    target = configuration.targets_by_id.get(target_id)
    if target is None:
        return exceptions.Sentinel(f'there is no target {target_id}')
    if target.retired:
        return exceptions.Sentinel(f'target {target_id} is retired already')
    if (
        len(_targets_in_use(configuration, target.service))
        <= MIN_TARGETS_IN_USE
    ):
        return exceptions.Sentinel(
            f'service {target.service} needs {MIN_TARGETS_IN_USE} targets '
            'in use; add or restore another target first'
        )
    return _with_target(
        configuration, dataclasses.replace(target, retired=True)
    )


def _restore_target(
    configuration: types.Configuration, target_id: str
) -> Result:
    target = configuration.targets_by_id.get(target_id)
    if target is None:
        return exceptions.Sentinel(f'there is no target {target_id}')
    if not target.retired:
        return exceptions.Sentinel(f'target {target_id} is not retired')
    if conflict := _placement_conflict(configuration, target):
        return exceptions.Sentinel(conflict)
    return _with_target(
        configuration, dataclasses.replace(target, retired=False)
    )


def _retire_host(configuration: types.Configuration, host_id: str) -> Result:
    if host_id in configuration.retired_host_ids:
        return exceptions.Sentinel(f'host {host_id} is retired already')
    return dataclasses.replace(
        configuration,
        retired_host_ids=configuration.retired_host_ids | {host_id},
    )


def _restore_host(configuration: types.Configuration, host_id: str) -> Result:
    if host_id not in configuration.retired_host_ids:
        return exceptions.Sentinel(f'host {host_id} is not retired')
    return dataclasses.replace(
        configuration,
        retired_host_ids=configuration.retired_host_ids - {host_id},
    )
