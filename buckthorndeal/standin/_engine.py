"""Simulated model engine: queue, batch slots, prefix cache, streams, load orders."""

import collections
import hashlib
import heapq
import itertools

import curio
import msgspec

from buckthorndeal.errors import RequestError
from buckthorndeal.http_server import Request, Responder
from buckthorndeal.streams import END_DATA, Event, format_event

BLOCK_TOKENS = 16
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 4096
MAX_REPORTED = 256
WORDS = (
    "bell", "bronze", "cast", "clapper", "cord", "draft", "fair", "forge", "hill",
    "market", "mould", "order", "pour", "ring", "strap", "tin",
)  # fmt: skip


class PrefixCache:
    """LRU cache of prompt blocks, which records its changes for heartbeats.

    Parameters
    ----------
    capacity : int
        Number of blocks that it holds.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[bytes, tuple[str, float]]
        self._blocks = collections.OrderedDict()
        self._changes: dict[str, float] = {}
        self._report_numbers = itertools.count(1)
        self._cleared = False

    def cache_prompt(self, request_id: str, tokens: list[str]) -> int:
        """Cache a prompt and return how many of its leading tokens were cached.

        Parameters
        ----------
        request_id : str
            Request that the blocks are reported under.
        tokens : list of str
            Tokens of the prompt; a last block that is not full is not cached.

        Returns
        -------
        int
            Leading tokens that were cached before the call.
        """
        cached_tokens = 0
        all_cached = True
        blocks = _hash_blocks(tokens)
        for index, block in enumerate(blocks):
            all_cached = all_cached and block in self._blocks
            cached_tokens += BLOCK_TOKENS * all_cached
            self._blocks[block] = (request_id, index / len(blocks))
            self._blocks.move_to_end(block)
        if blocks:
            self._changes[request_id] = 1.0
        while len(self._blocks) > self._capacity:
            _, (owner, kept) = self._blocks.popitem(last=False)
            self._changes[owner] = min(kept, self._changes.get(owner, 1.0))
        return cached_tokens

    def clear(self) -> None:
        """Remove all blocks and report the cache as cleared."""
        self._blocks.clear()
        self._changes.clear()
        self._cleared = True

    def take_reports(self) -> list[dict]:
        """Return the changes since the last call as reports for a heartbeat."""
        if not self._changes and not self._cleared:
            return []
        changes = list(self._changes.items())[-MAX_REPORTED:]
        report = {
            "sequence": next(self._report_numbers),
            "cleared": self._cleared,
            "prefixes": [{"request_id": name, "kept": kept} for name, kept in changes],
        }
        self._changes.clear()
        self._cleared = False
        return [report]


def _hash_blocks(tokens: list[str]) -> list[bytes]:
    digest = hashlib.sha256()
    blocks = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update("\0".join(tokens[start : start + BLOCK_TOKENS]).encode())
        blocks.append(digest.digest())
    return blocks


class StandinEngine:
    """Model engine whose answers are a function of the prompt alone.

    All engines generate the same tokens for a prompt, so a stream can be resumed
    at another engine.

    Parameters
    ----------
    models : tuple of str
        Models loaded at the start.
    slots : int
        Maximum number of concurrent requests.
    max_queue : int
        Maximum number of requests that wait for a slot; further ones are refused.
    token_s, prefill_s : float
        Seconds for each generated token and for each uncached prompt token.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    checks_fencing : bool
        Whether the engine announces that it refuses orders with an old fencing
        number, and does so.
    model_slots : int or None
        Maximum number of loaded models; None for the number of initial models.
    """

    def __init__(
        self,
        models: tuple[str, ...],
        slots: int = 8,
        max_queue: int = 64,
        token_s: float = 0.01,
        prefill_s: float = 0.0002,
        cache_blocks: int = 4096,
        checks_fencing: bool = True,
        model_slots: int | None = None,
    ) -> None:
        self.model_slots = max(1, len(models)) if model_slots is None else model_slots
        self._versions = dict.fromkeys(models, "1")
        self.slots = slots
        self.checks_fencing = checks_fencing
        self.running = 0
        self.cancelled: list[str] = []
        self._max_queue = max_queue
        self._token_s = token_s
        self._prefill_s = prefill_s
        self._cache = PrefixCache(cache_blocks)
        self._waiting: list[tuple[int, int, curio.Event]] = []
        self._arrival_numbers = itertools.count()
        self._tasks: dict[str, curio.Task] = {}
        self._highest_fencing = 0
        self._order_results: dict[str, dict] = {}

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request of an entry host."""
        if request.method != "POST":
            raise RequestError("method_not_allowed", 405, "use POST")
        fields = msgspec.json.decode(request.body)
        if request.path == "/v1/chat/completions":
            request_id = request.headers.get("buckthorndeal-request-id", "")
            priority = int(request.headers.get("buckthorndeal-priority", "5"))
            await self._answer_chat(request_id, priority, fields, responder)
        elif request.path == "/cancel":
            await self._cancel(fields["request_id"])
            await responder.respond_json(200, {})
        elif request.path == "/orders":
            await responder.respond_json(200, self._execute_order(fields))
        else:
            raise RequestError("not_found", 404, "no such path")

    async def _answer_chat(
        self, request_id: str, priority: int, fields: dict, responder: Responder
    ) -> None:
        if fields.get("model") not in self.models:
            raise RequestError("model_not_found", 404, "the model is not loaded")
        if self.running >= self.slots and self.queued >= self._max_queue:
            raise RequestError("queue_full", 429, "the queue is full", retry_after_s=1)
        self._tasks[request_id] = await curio.current_task()
        try:
            await self._wait_for_slot(priority)
            try:
                await self._generate(request_id, fields, responder)
            finally:
                await self._free_slot()
        except curio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self._tasks.pop(request_id, None)

    def clear_cache(self) -> None:
        """Remove all prompts from the prefix cache."""
        self._cache.clear()

    def take_cache_reports(self) -> list[dict]:
        """Return the changes of the prefix cache since the last call."""
        return self._cache.take_reports()

    @property
    def models(self) -> tuple[str, ...]:
        """Names of the loaded models."""
        return tuple(self._versions)

    @property
    def versions(self) -> tuple[str, ...]:
        """Versions of the loaded models, in the same order."""
        return tuple(self._versions.values())

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def get_token_s(self) -> float:
        """Return the seconds that the next generated token takes."""
        return self._token_s

    async def _wait_for_slot(self, priority: int) -> None:
        if self.running < self.slots:
            self.running += 1
            return
        # A larger number is a higher priority; equal priorities are served FIFO.
        entry = (-priority, next(self._arrival_numbers), curio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except curio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            else:
                await self._free_slot()
            raise

    async def _free_slot(self) -> None:
        if self._waiting:
            # The slot passes to the next request, so `running` doesn't change.
            await heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1

    async def _generate(
        self, request_id: str, fields: dict, responder: Responder
    ) -> None:
        prompt = _read_prompt(fields)
        tokens = prompt.split()
        cached = self._cache.cache_prompt(request_id, tokens)
        await curio.sleep((len(tokens) - cached) * self._prefill_s)
        count = min(MAX_TOKENS, int(fields.get("max_tokens") or DEFAULT_MAX_TOKENS))
        if fields.get("stream"):
            start = int(fields.get("resume_from", 0))
            await self._stream(request_id, fields, prompt, (start, count), responder)
            return
        await curio.sleep(count * self.get_token_s())
        text = "".join(itertools.islice(iter_tokens(prompt), count))
        await responder.respond_json(
            200,
            create_completion(fields["model"], text, len(tokens), count, cached),
            [("buckthorndeal-request-id", request_id)],
        )

    async def _stream(
        self,
        request_id: str,
        fields: dict,
        prompt: str,
        bounds: tuple[int, int],
        responder: Responder,
    ) -> None:
        start, count = bounds
        await responder.start(
            200,
            [
                ("content-type", "text/event-stream"),
                ("buckthorndeal-request-id", request_id),
            ],
        )
        tokens = itertools.islice(iter_tokens(prompt), start, count)
        for index, token in enumerate(tokens, start):
            await curio.sleep(self.get_token_s())
            data = msgspec.json.encode(create_chunk(fields["model"], token)).decode()
            await responder.send(format_event(Event(f"{request_id}:{index}", data)))
        end = Event(f"{request_id}:{max(start, count)}", END_DATA)
        await responder.send(format_event(end))
        await responder.finish()

    async def _cancel(self, request_id: str) -> None:
        task = self._tasks.get(request_id)
        if task is not None:
            await task.cancel(blocking=False)

    def _execute_order(self, order: dict) -> dict:
        if order["order_id"] in self._order_results:
            return self._order_results[order["order_id"]]
        fencing = order["fencing"]
        if self.checks_fencing and fencing < self._highest_fencing:
            raise RequestError(
                "old_fencing", 409, f"fencing is at {self._highest_fencing}"
            )
        self._highest_fencing = max(fencing, self._highest_fencing)
        model = order["model"]
        if order["action"] == "load" and model not in self._versions:
            if len(self._versions) >= self.model_slots:
                raise RequestError("no_model_slot", 409, "no model slot is free")
            self._versions[model] = order["version"]
        elif order["action"] == "unload":
            self._versions.pop(model, None)
        result = {"models": self.models}
        self._order_results[order["order_id"]] = result
        return result


def _read_prompt(fields: dict) -> str:
    messages = fields.get("messages") or []
    return "\n".join(str(message.get("content", "")) for message in messages)


def iter_tokens(prompt: str) -> collections.abc.Iterator[str]:
    """Yield the tokens of the endless answer to a prompt."""
    seed = hashlib.sha256(prompt.encode()).digest()
    for index in itertools.count():
        digest = hashlib.sha256(seed + index.to_bytes(8, "big")).digest()
        yield WORDS[digest[0] % len(WORDS)] + " "


def create_chunk(model: str, token: str) -> dict:
    """Return the payload of one streamed chat completion chunk."""
    choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
    return {"object": "chat.completion.chunk", "model": model, "choices": [choice]}


def create_completion(
    model: str, text: str, prompt_tokens: int, completion_tokens: int, cached: int
) -> dict:
    """Return the payload of a complete, unstreamed chat completion."""
    message = {"role": "assistant", "content": text}
    return {
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        },
    }
