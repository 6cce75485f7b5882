"""Models of the operating document's sections, and their validation."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from buckthorndeal._json_text import parse_json
from buckthorndeal.errors import ValidationError
from buckthorndeal.settings import split_validation_error

__all__ = [
    "AccountsSection",
    "HedgePolicy",
    "ModelPlacement",
    "NonIdempotentCall",
    "Placement",
    "PlatformSection",
    "Region",
    "Section",
    "Service",
    "SupportSection",
    "Team",
    "TeamsSection",
    "Weights",
    "Workspace",
    "parse_section",
]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
KeyHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Weight = Annotated[float, Meta(ge=0, le=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=3600)]
Rate = Annotated[float, Meta(gt=0, le=1e6)]
Count = Annotated[int, Meta(ge=0, le=100_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]


class Weights(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Relative importance of cost and tail latency to a service, each from 0 to 1."""

    cost: Weight = 0.5
    tail_latency: Weight = 0.5


class NonIdempotentCall(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Calls of a plain service that must run at most once."""

    method: Literal["POST", "PUT", "PATCH", "DELETE", "GET"]
    path_prefix: Annotated[str, Meta(pattern=r"^/")]


class HedgePolicy(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Whether idempotent calls are hedged, and when the second attempt starts."""

    enabled: bool = False
    after_s: PositiveSeconds = 0.5


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service that the gateway routes to.

    If `endpoint_key_hashes` is not empty, an endpoint of the service has to
    authenticate with a bearer key that has one of these SHA-256 hashes.
    """

    kind: Literal["model", "plain"]
    models: tuple[Name, ...] = ()
    default_deadline_s: PositiveSeconds = 30.0
    weights: Weights = Weights()
    non_idempotent: tuple[NonIdempotentCall, ...] = ()
    hedge: HedgePolicy = HedgePolicy()
    endpoint_key_hashes: tuple[KeyHash, ...] = ()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once."""
        return not any(
            call.method == method and path.startswith(call.path_prefix)
            for call in self.non_idempotent
        )


class Region(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A region, its failure domains and the capacity that it lends to other regions.

    Each name in `home` and `failure_domains` belongs to one region only.
    `spill_share` is the share of the region's slots that it may lend.
    """

    home: Name
    failure_domains: Annotated[tuple[Name, ...], Meta(min_length=1)]
    spill_share: Share = 0.2


class ModelPlacement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Version of a model, its adapters, and how many copies each region may have."""

    version: Name
    min_copies: Count = 1
    max_copies: PositiveCount = 8
    adapters: tuple[Name, ...] = ()


class Placement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Placement of each model, and the limit of loads from the weight store."""

    models: dict[Name, ModelPlacement] = {}
    weight_store_loads_per_minute: Rate = 6.0


class PlatformSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Section of the platform team: services, regions and placement."""

    services: dict[Name, Service]
    regions: dict[Name, Region]
    placement: Placement = Placement()


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace: SHA-256 hashes of its keys, its home region and its limits.

    The requests of a `bound` workspace are processed in its home region only.
    """

    key_hashes: Annotated[tuple[KeyHash, ...], Meta(min_length=1)]
    home_region: Name
    bound: bool = False
    requests_per_s: Rate = 50.0
    burst: PositiveCount = 100
    concurrency: PositiveCount = 64
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class AccountsSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Section of the accounts team: workspaces by name."""

    workspaces: dict[Name, Workspace]


class SupportSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Section of the support team: contact, drained hosts and refused endpoints."""

    contact: str = ""
    drained_hosts: tuple[Name, ...] = ()
    refused_endpoints: tuple[Name, ...] = ()


class Team(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A team: SHA-256 hashes of its keys and the sections that it owns."""

    key_hashes: Annotated[tuple[KeyHash, ...], Meta(min_length=1)]
    sections: tuple[Name, ...]


class TeamsSection(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Section that lists the teams; owned by the platform team."""

    teams: dict[Name, Team]


Section = (
    PlatformSection | AccountsSection | SupportSection | TeamsSection | dict[str, Any]
)

SECTION_MODELS: dict[str, type] = {
    "platform": PlatformSection,
    "accounts": AccountsSection,
    "support": SupportSection,
    "teams": TeamsSection,
}


def parse_section(name: str, text: str) -> Section:
    """Validate the text of a section.

    Parameters
    ----------
    name : str
        Section name. A section without a model may hold any JSON object.
    text : str
        JSON with comments.

    Returns
    -------
    Section
        The validated model, or a dict for a section without a model, which a
        deployment may add.

    Raises
    ------
    ValidationError
        If the text is not valid JSON with comments or does not match the model.
    """
    try:
        raw = parse_json(text)
    except ValueError as error:
        raise ValidationError(name, "$", f"not valid JSON: {error}") from error
    try:
        return msgspec.convert(raw, SECTION_MODELS.get(name, dict[str, Any]))
    except msgspec.ValidationError as error:
        reason, path = split_validation_error(str(error))
        raise ValidationError(name, path, reason) from error
