"""Tests of the bearer keys of endpoints."""

import msgspec

from buckthorndeal.authentication import hash_key
from buckthorndeal.entry._messages import ListEndpoints, PutDocument
from buckthorndeal.sections import parse_section
from tests.support import ClusterCase
from tests.system import TEXTS

ENDPOINT = {
    "name": "a",
    "incarnation": 1,
    "service": "llm",
    "region": "r1",
    "failure_domain": "r1-1",
    "address": "127.0.0.1",
    "port": 9,
}


class EntryEndpointKeyTest(ClusterCase):
    """A service may require a key from its endpoints."""

    async def require_key(self, cluster):
        platform = msgspec.to_builtins(parse_section("platform", TEXTS["platform"]))
        services = platform["services"]
        services["llm"]["endpoint_key_hashes"] = [hash_key("llm-key")]
        view = cluster.view
        changed = msgspec.convert(platform, type(view.platform))
        await cluster.hosts[0].document_mailbox.ask(
            PutDocument(type(view)(2, changed, *get_other_sections(view)))
        )

    async def send_notice(self, cluster, kind, key, **fields):
        body = msgspec.json.encode(ENDPOINT | fields)
        status, _, _ = await cluster.fetch(
            "POST", f"/v1/endpoints/{kind}", body, key=key
        )
        return status

    def test_only_a_matching_key_changes_endpoints_of_the_service(self):
        """Guards against announcing or removing endpoints without the right key."""

        async def scenario(cluster):
            await self.require_key(cluster)
            calls = [
                ("announce", "wrong", {}),
                ("leave", "wrong", {"incarnation": 9}),
                ("announce", "llm-key", {}),
                ("leave", "wrong", {}),
                # Moving the endpoint to a service without keys needs its key too.
                ("announce", "wrong", {"service": "desk"}),
                ("drain", "llm-key", {}),
                ("announce", "wrong", {"service": "desk", "name": "b"}),
            ]
            statuses = [
                await self.send_notice(cluster, kind, key, **fields)
                for kind, key, fields in calls
            ]
            views = await cluster.hosts[0].router_mailbox.ask(ListEndpoints())
            return statuses, {view.name: view.state for view in views}

        statuses, states = self.run_cluster(scenario)
        self.assertEqual(statuses, [401, 401, 200, 401, 401, 200, 200])
        self.assertEqual(states, {"a": "draining", "b": "ready"})


def get_other_sections(view):
    return view.accounts, view.support, view.authenticator
