"""Callers of the policy benchmark: an open-loop workload over HTTP."""

import itertools
import time

import curio
import msgspec

from buckthorndeal.bench._policy_audit import (
    BROKEN,
    COMPLETE,
    NOT_RUN,
    WRONG,
    Audit,
    CallRecord,
)
from buckthorndeal.bench._policy_figures import Outcome
from buckthorndeal.bench._policy_plan import (
    ANSWER_TOKENS,
    BOOKING,
    LOOKUP,
    MODEL,
    PlannedCall,
)
from buckthorndeal.bench._policy_world import (
    ADDRESS,
    HTTP_PORT,
    Testbed,
    get_caller_place,
    get_key,
)
from buckthorndeal.errors import RequestError
from buckthorndeal.http_client import ClientResponse, HttpPool, create_http_pool
from buckthorndeal.standin._engine import iter_tokens
from buckthorndeal.standin._plain import compute_stock
from buckthorndeal.streams import END_DATA, Event, create_event_parser

__all__ = ["Callers"]

DEADLINES_S = {MODEL: 4.0, LOOKUP: 1.5, BOOKING: 3.0}
# The gateway answers by the deadline; the margin covers the network delay.
TIMEOUT_MARGIN_S = 1.0
RESEND_DELAY_S = 0.3
DIRECTORY_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 1000
NO_ANSWER = "no_answer"


class _RefusedError(Exception):
    """The gateway answered a call with an error.

    Parameters
    ----------
    code : str
        Error code.
    result : str
        Verdict on whether the call has run; `WRONG` for a malformed error.
    """

    def __init__(self, code: str, result: str) -> None:
        super().__init__(code)
        self.code = code
        self.result = result


class _EntryHostList:
    """Ports of the entry hosts that the callers of one workspace use."""

    def __init__(self, pools: dict[int, HttpPool], region: str, ports: list[int]):
        self._pools = pools
        self._region = region
        self.ports = ports

    async def run(self) -> None:
        """Refresh the list whenever the lifetime of an answer ends."""
        while True:
            lifetime_s = await self._refresh()
            await curio.sleep(lifetime_s)

    async def _refresh(self) -> float:
        for port in list(self.ports):
            try:
                async with curio.timeout_after(DIRECTORY_TIMEOUT_S):
                    _, _, body = await self._pools[port].fetch(
                        "GET", f"/v1/entry-hosts?region={self._region}", []
                    )
            except (RequestError, curio.TaskTimeout):
                continue
            answer = msgspec.json.decode(body)
            self.ports = [host["port"] for host in answer["hosts"]] or self.ports
            return answer["lifetime_s"]
        return DIRECTORY_TIMEOUT_S


class Callers:
    """Callers that send the planned calls of a run and record their outcomes.

    Parameters
    ----------
    testbed : Testbed
        Deployment that they call.
    """

    def __init__(self, testbed: Testbed) -> None:
        self._testbed = testbed
        self._audit: Audit = testbed.audit
        self._numbers = itertools.count()
        self._pools: dict[str, dict[int, HttpPool]] = {}
        self._host_lists: dict[str, _EntryHostList] = {}
        self._tasks: list[curio.Task] = []
        self.outcomes: list[Outcome] = []
        self.lags_s: list[float] = []

    async def start(self, plan: list[PlannedCall]) -> None:
        """Fetch the entry hosts for each workspace of the plan."""
        for call in plan:
            if call.workspace not in self._host_lists:
                await self._add_host_list(call)

    async def _add_host_list(self, call: PlannedCall) -> None:
        region = call.region
        if region not in self._pools:
            transport = self._testbed.create_transport(get_caller_place(region))
            self._pools[region] = {
                port: create_http_pool(transport, ADDRESS, port, MAX_CONNECTIONS)
                for port in self._list_ports(region)
            }
        host_list = _EntryHostList(
            self._pools[region], region, self._list_ports(region)
        )
        self._host_lists[call.workspace] = host_list
        await host_list._refresh()
        self._tasks.append(await curio.spawn(host_list.run, daemon=True))

    def _list_ports(self, region: str) -> list[int]:
        """Return the HTTP ports of all entry hosts, those of `region` first."""
        regions = list(self._testbed.host_regions.values())
        order = sorted(range(len(regions)), key=lambda index: regions[index] != region)
        return [HTTP_PORT + index for index in order]

    async def run(self, plan: list[PlannedCall]) -> None:
        """Send each call at its planned time, without waiting for earlier calls."""
        started_s = time.monotonic()
        async with curio.TaskGroup() as group:
            for call in plan:
                due_s = started_s + call.at_s
                await curio.sleep(max(0.0, due_s - time.monotonic()))
                self.lags_s.append(time.monotonic() - due_s)
                await group.spawn(self._run_call, call, due_s)

    async def close(self) -> None:
        """Stop refreshing the host lists and close the idle connections."""
        for task in self._tasks:
            await task.cancel()
        for pools in self._pools.values():
            for pool in pools.values():
                await pool.close()

    async def _run_call(self, call: PlannedCall, due_s: float) -> None:
        record = CallRecord(call)
        self._audit.call_records.append(record)
        outcome = Outcome(call.kind, call.at_s, call.region)
        outcome.reason = await self._send(call, record, outcome, due_s)
        outcome.total_s = time.monotonic() - due_s
        regions = self._audit.list_regions(call.marker)
        outcome.abroad = bool(regions) and regions[-1] != call.region
        self.outcomes.append(outcome)
        is_uncertain = record.results[-1] not in (COMPLETE, NOT_RUN)
        if call.kind == BOOKING and (call.resent or is_uncertain):
            await curio.sleep(RESEND_DELAY_S)
            await self._send(call, record, Outcome(BOOKING, 0.0, call.region), due_s)

    async def _send(
        self, call: PlannedCall, record: CallRecord, outcome: Outcome, due_s: float
    ) -> str:
        """Send a call once; return ``ok`` or the reason why it got no answer."""
        try:
            async with curio.timeout_after(DEADLINES_S[call.kind] + TIMEOUT_MARGIN_S):
                is_correct = await self._exchange(call, outcome, due_s)
        except _RefusedError as error:
            record.results.append(error.result)
            return error.code
        except RequestError as error:
            record.results.append(BROKEN)
            return error.code
        except curio.TaskTimeout:
            record.results.append(BROKEN)
            return NO_ANSWER
        record.results.append(COMPLETE if is_correct else WRONG)
        return "ok" if is_correct else WRONG

    async def _exchange(
        self, call: PlannedCall, outcome: Outcome, due_s: float
    ) -> bool:
        error = None
        for port in list(self._host_lists[call.workspace].ports):
            try:
                return await self._exchange_with(call, port, outcome, due_s)
            except RequestError as caught:
                error = caught
                if caught.code != "connect_failed":
                    raise
        raise error or RequestError("no_entry_host", 503, "no entry host is known")

    async def _exchange_with(
        self, call: PlannedCall, port: int, outcome: Outcome, due_s: float
    ) -> bool:
        request_id = f"{call.marker}-{next(self._numbers)}"
        method, target, headers, body = create_request(
            call, self._testbed.deployment.plain_service, request_id
        )
        body = body.replace(b"MODEL", self._testbed.deployment.model.encode(), 1)
        pool = self._pools[call.region][port]
        async with pool.request(method, target, headers, body) as response:
            if response.status >= 400:
                raise _read_refusal(await response.read())
            if response.headers.get("buckthorndeal-request-id") != request_id:
                return False
            if call.kind == MODEL:
                return await _read_stream(response, call, request_id, outcome, due_s)
            return is_own_answer(call, response.status, await response.read())


def create_request(
    call: PlannedCall, plain_service: str, request_id: str
) -> tuple[str, str, list[tuple[str, str]], bytes]:
    """Return method, target, headers and body; ``MODEL`` is the model's placeholder."""
    headers = [
        ("authorization", f"Bearer {get_key(call.workspace)}"),
        ("content-type", "application/json"),
        ("buckthorndeal-request-id", request_id),
        ("buckthorndeal-deadline-ms", str(int(DEADLINES_S[call.kind] * 1000))),
    ]
    if call.kind == MODEL:
        fields = {
            "model": "MODEL",
            "stream": True,
            "max_tokens": ANSWER_TOKENS,
            "messages": [{"role": "user", "content": call.prompt}],
        }
        path = "/v1/chat/completions"
        return "POST", path, headers, msgspec.json.encode(fields)
    target = f"/services/{plain_service}{call.path}"
    if call.kind == LOOKUP:
        return "GET", target, headers, b""
    headers.append(("idempotency-key", call.marker))
    return "POST", target, headers, msgspec.json.encode({"for": call.marker})


def is_own_answer(call: PlannedCall, status: int, body: bytes) -> bool:
    """Return whether an answer of the plain service belongs to this call."""
    answer = msgspec.json.decode(body)
    if call.kind == LOOKUP:
        item = call.path.rpartition("/")[2]
        return answer == {"item": item, "in_stock": compute_stock(item)}
    return status == 201 and answer["booked"] == {"for": call.marker}


def _read_refusal(body: bytes) -> _RefusedError:
    try:
        error = msgspec.json.decode(body)["error"]
        return _RefusedError(error["code"], error["verdict"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return _RefusedError("malformed_refusal", WRONG)


async def _read_stream(
    response: ClientResponse,
    call: PlannedCall,
    request_id: str,
    outcome: Outcome,
    due_s: float,
) -> bool:
    parser = create_event_parser()
    events: list[Event] = []
    while part := await response.read_part():
        events += parser.feed(part)
        if events and outcome.first_s is None:
            outcome.first_s = time.monotonic() - due_s
    if events and events[-1].kind == "error":
        raise _read_refusal(events[-1].data.encode())
    return is_own_stream(events, call.prompt, request_id)


def is_own_stream(events: list[Event], prompt: str, request_id: str) -> bool:
    """Return whether events are the complete answer to a prompt, in order."""
    tokens = itertools.islice(iter_tokens(prompt), ANSWER_TOKENS)
    expected = [*tokens, END_DATA]
    if len(events) != len(expected):
        return False
    return all(
        event.id == f"{request_id}:{index}" and _read_token(event) == token
        for index, (event, token) in enumerate(zip(events, expected, strict=True))
    )


def _read_token(event: Event) -> str:
    if event.data == END_DATA:
        return END_DATA
    return msgspec.json.decode(event.data)["choices"][0]["delta"]["content"]
