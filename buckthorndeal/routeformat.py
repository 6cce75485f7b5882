"""Default text format of a route configuration: JSON with comments."""

import jsonc
import msgspec

from buckthorndeal.configuration import (
    Configuration,
    ConfigurationCodec,
    ConfigurationError,
    check_configuration,
)
from buckthorndeal.settings import split_validation_error

__all__ = ["RouteFormat", "create_route_format"]


class RouteFormat:
    """Codec for JSON with comments, with the field names of `Configuration`."""

    def decode(self, content: bytes) -> Configuration:
        """Return the validated configuration.

        Raises
        ------
        ConfigurationError
            If `content` is not JSON or not a valid configuration.
        """
        try:
            raw = jsonc.loads(content.decode("utf-8"))
        except (ValueError, RecursionError) as error:
            raise ConfigurationError("$", f"not JSON: {error}") from error
        try:
            configuration = msgspec.convert(raw, Configuration)
        except RecursionError as error:
            raise ConfigurationError("$", "nested too deeply") from error
        except msgspec.ValidationError as error:
            reason, path = split_validation_error(str(error))
            raise ConfigurationError(path, reason) from error
        check_configuration(configuration)
        return configuration


def create_route_format() -> ConfigurationCodec:
    """Return the codec of the default format."""
    return RouteFormat()
