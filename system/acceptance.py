"""Accepts declarations through the product's acceptor, without an instance."""

from typing import Any

import msgspec

from bilberrystack.core import changes
from bilberrystack.core import documents
from bilberrystack.core import freshness
from bilberrystack.proxy import acceptance
from bilberrystack.proxy import configuration
from bilberrystack.proxy import store_http


class _Alone:
    """The neighbours of a configuration that has none."""

    def majority_contact_at(self, now: float) -> float | None:
        return now

    async def lagging_instances(self, _version: int) -> list[str]:
        return []

    async def push_head(self, _head: bytes) -> None:
        return


async def declare(store_url: str, document: dict[str, Any]) -> None:
    """Puts a document of declarations in force; instances learn of it from the store."""
    whole = documents.parse(msgspec.json.encode(document).decode()).unwrap()
    change = changes.Change("declare", replacement=whole)
    async with store_http.HttpStore(store_url) as store:
        alone = _Alone()
        current = configuration.Configuration(store, alone, freshness.may_serve)
        acceptor = acceptance.Acceptor(store, current, alone, lambda _now, _contact: True)
        outcome = await acceptor.accept(change)
    assert isinstance(outcome, changes.Accepted), outcome
