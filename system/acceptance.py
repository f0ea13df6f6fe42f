"""Declares configurations with the product's acceptor, without a running instance."""

from typing import Any

import msgspec

from bilberrystack.core import changes
from bilberrystack.core import documents
from bilberrystack.core import freshness
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import store_http


class _EmptyFleet:
    """Fleet without other instances, for the acceptor and the configuration."""

    def majority_contact_at(self, now: float) -> float | None:
        return now

    async def lagging_instances(self, _version: int) -> list[str]:
        return []

    async def push_head(self, _head: bytes) -> None:
        return


async def declare(store_url: str, document: dict[str, Any]) -> None:
    """Stores a new configuration, which instances then read from the store.

    Args:
      store_url: URL of the store's object API.
      document: The whole configuration, in the form that `config apply` reads.
    """
    replacement = documents.parse(msgspec.json.encode(document).decode()).unwrap()
    change = changes.Change("declare", replacement=replacement)
    async with store_http.HttpStore(store_url) as store:
        fleet = _EmptyFleet()
        current = configuration.Configuration(store, fleet, freshness.may_serve)
        acceptor = acceptance.Acceptor(store, current, fleet, lambda _now, _contact: True)
        outcome = await acceptor.accept(change)
    assert isinstance(outcome, changes.Accepted), outcome
