"""Client of the platform's object API over HTTP and JSON.

* GET /object?key=K returns 200 with an Object, or 404 if it is absent.
* POST /object?key=K with an Update returns 200 with an UpdateResult, or 409 if the object has
  another version.
* GET /watch?key=K&after_version=V&wait_ms=M returns 200 with an Object, or 204 if its version did
  not exceed V within the wait.
* GET /keys?prefix=P returns 200 with Keys.

Updates use POST because the HTTP client repeats idempotent methods, including PUT, when a
persistent connection closes without an answer. The repetition of an update that took effect would
fail with a conflict, which means that nothing changed.
"""

import math
import ssl
import types
from typing import TypeVar

import aiohttp
import msgspec

from bilberrystack.proxy import interfaces
from bilberrystack.proxy import store_messages

# The store normally answers within milliseconds (design 1.5). After 4 s without store contact, an
# instance may have to reject requests (design 2.11). The timeout is half of that, so that a failed
# call can be repeated.
CALL_TIMEOUT_S = 2.0

_Message = TypeVar("_Message")


class HttpStore:
    """An HTTP client of the store, to be closed or used as an asynchronous context manager.

    Implements interfaces.Store.
    """

    __slots__ = ("_call_timeout_s", "_session", "_tls", "_url")

    def __init__(
        self, url: str, tls: ssl.SSLContext | None = None, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Create a client, which connects on first use.

        Args:
          url: The base URL of the API, for example "http://127.0.0.1:8000".
          tls: The TLS context for https; None for the system's default.
          call_timeout_s: The timeout of a call in seconds, in addition to the wait of a watch.
        """
        self._url = url.rstrip("/")
        self._tls = tls
        self._call_timeout_s = call_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> interfaces.StoredObject | None:
        """Return an object; None if it is absent.

        Raises:
          interfaces.StoreUnavailable: The store did not answer.
        """
        status, body = await self._request("GET", "/object", {"key": key})
        return None if status == 404 else _decode_object(body)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write an object if it has the expected version.

        Args:
          key: The object's key.
          value: The new value, at most 1 MB.
          expected_version: The version that the object must have; 0 if it must be absent.
        Returns:
          The new version.
        Raises:
          interfaces.VersionConflict: The object has another version.
          interfaces.StoreUnavailable: The store did not answer; the update may have taken effect.
        """
        update = msgspec.json.encode(store_messages.Update(value, expected_version))
        status, body = await self._request("POST", "/object", {"key": key}, update)
        if status == 409:
            raise interfaces.VersionConflict(f"{key}: not at version {expected_version}")
        return _decode(body, store_messages.UpdateResult).version

    async def watch(
        self, key: str, after_version: int, wait_s: float
    ) -> interfaces.StoredObject | None:
        """Wait for a newer version of an object.

        Args:
          key: The object's key.
          after_version: The version that must be exceeded.
          wait_s: The maximum wait, in seconds.
        Returns:
          The object, or None if its version did not exceed after_version within the wait.
        Raises:
          interfaces.StoreUnavailable: The store did not answer.
        """
        parameters = {
            "key": key,
            "after_version": str(after_version),
            "wait_ms": str(math.ceil(wait_s * 1000)),
        }
        status, body = await self._request("GET", "/watch", parameters, wait_s=wait_s)
        return None if status == 204 else _decode_object(body)

    async def keys(self, prefix: str) -> list[str]:
        """Return the keys that start with a prefix.

        Raises:
          interfaces.StoreUnavailable: The store did not answer.
        """
        _status, body = await self._request("GET", "/keys", {"prefix": prefix})
        return _decode(body, store_messages.Keys).keys

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def __aenter__(self) -> "HttpStore":
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: types.TracebackType | None,
    ) -> None:
        await self.close()

    async def _request(
        self,
        method: str,
        path: str,
        parameters: dict[str, str],
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        """Return the status and body of a response. Raises StoreUnavailable if the call fails."""
        timeout = aiohttp.ClientTimeout(total=wait_s + self._call_timeout_s)
        try:
            async with self._open_session().request(
                method,
                self._url + path,
                params=parameters,
                data=body,
                timeout=timeout,
                ssl=self._tls or True,
            ) as response:
                status = response.status
                content = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise interfaces.StoreUnavailable(f"{path}: {type(error).__name__} {error}") from error
        if status not in (200, 204, 404, 409):
            raise interfaces.StoreUnavailable(f"{path}: status {status}")
        return status, content

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session


def _decode_object(body: bytes) -> interfaces.StoredObject:
    stored = _decode(body, store_messages.Object)
    return interfaces.StoredObject(stored.key, stored.value, stored.version)


def _decode(body: bytes, message: type[_Message]) -> _Message:
    try:
        return msgspec.json.decode(body, type=message)
    except msgspec.MsgspecError as error:
        raise interfaces.StoreUnavailable(f"malformed response: {error}") from error
