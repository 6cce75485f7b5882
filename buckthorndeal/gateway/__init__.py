"""Gateway daemon of an entry host: proxies requests to endpoints and regions."""

from buckthorndeal.gateway._daemon import Gateway, create_gateway
from buckthorndeal.gateway._messages import LoadReport
from buckthorndeal.gateway._prompts import Prompt, PromptPart, create_prompt

__all__ = [
    "Gateway",
    "LoadReport",
    "Prompt",
    "PromptPart",
    "create_gateway",
    "create_prompt",
]
