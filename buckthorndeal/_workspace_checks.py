"""Validation of the workspaces of a configuration."""

from collections.abc import Iterable

from buckthorndeal._configuration_numbers import check_counts
from buckthorndeal.errors import ConfigurationError
from buckthorndeal.workspaces import Workspace

# Names and keys are values of headers. The header that is added to a forwarded request
# for the name has to fit into what the receiving host allows for it.
MAX_NAME_BYTES = 256
MAX_KEY_BYTES = 8_192
MAX_SHOWN_CHARACTERS = 64


def check_workspaces(workspaces: Iterable[Workspace]) -> None:
    """Check workspaces, of which there may be many thousands.

    No message contains a key.

    Raises
    ------
    ConfigurationError
        If a name or a key is empty, cannot be sent in a header or occurs twice; or if
        a number is negative, infinite or out of bounds.
    """
    names: set[str] = set()
    owners: dict[str, str] = {}
    for workspace in workspaces:
        path = f"workspace {workspace.name[:MAX_SHOWN_CHARACTERS]!r}"
        _check_header_value(path, "the name", workspace.name, MAX_NAME_BYTES)
        if workspace.name in names:
            raise ConfigurationError(path, "another workspace has this name")
        names.add(workspace.name)
        _check_numbers(path, workspace)
        for key in workspace.keys:
            _check_header_value(path, "a key", key, MAX_KEY_BYTES)
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                raise ConfigurationError(
                    path, f"workspace {owner[:MAX_SHOWN_CHARACTERS]!r} has the same key"
                )
        if len(set(workspace.keys)) < len(workspace.keys):
            raise ConfigurationError(path, "a key is given twice")


def _check_numbers(path: str, workspace: Workspace) -> None:
    priority = workspace.priority or 0
    numbers = {
        "priority": priority,
        "tokens of a request": workspace.default_tokens,
        "rate": workspace.rate_per_s,
        "burst": workspace.burst,
    }
    for name, number in numbers.items():
        if number < 0:
            raise ConfigurationError(path, f"the {name} is negative")
    check_counts(path, *numbers.values())


def _check_header_value(path: str, name: str, value: str, max_bytes: int) -> None:
    if not value:
        raise ConfigurationError(path, f"{name} is empty")
    if len(value) > max_bytes:
        raise ConfigurationError(path, f"{name} is longer than {max_bytes} bytes")
    if not (value.isascii() and value.isprintable()) or value.strip() != value:
        raise ConfigurationError(
            path, f"{name} is not printable ASCII without spaces around it"
        )
