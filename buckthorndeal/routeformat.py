"""Default text format of a route configuration: JSON with comments."""

import msgspec

from buckthorndeal._json_text import remove_comments
from buckthorndeal.configuration import (
    Configuration,
    ConfigurationCodec,
    ConfigurationError,
    check_configuration,
)
from buckthorndeal.errors import DECODING_ERRORS
from buckthorndeal.settings import split_validation_error

__all__ = ["RouteFormat", "create_route_format"]

_DECODER = msgspec.json.Decoder(Configuration)


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
            text = remove_comments(content.decode("utf-8"))
            configuration = _DECODER.decode(text)
        except msgspec.ValidationError as error:
            reason, path = split_validation_error(str(error))
            raise ConfigurationError(path, reason) from error
        except (ValueError, *DECODING_ERRORS) as error:
            raise ConfigurationError("$", f"not JSON: {error}") from error
        check_configuration(configuration)
        return configuration


def create_route_format() -> ConfigurationCodec:
    """Return the codec of the default format."""
    return RouteFormat()
