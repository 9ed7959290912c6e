"""HTTP clients for the platform's object store and VM list."""

import urllib.parse

from fireflyferry.edges.base import (
    ObjectStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
    VmList,
    WatchBatch,
)
from fireflyferry.edges.http_client import HttpAnswer, HttpClient, NoAnswerError
from fireflyferry.edges.wire import WriteResult, decode_batch, decode_object, decode_vm_list
from fireflyferry.messages import VmEntry, decode
from fireflyferry.messages.codec import MessageError

__all__ = ["HttpObjectStore", "HttpVmList"]


class _StoreCalls:
    """Base of the platform's clients, whose failed calls raise StoreUnavailableError."""

    def __init__(self, address: str, client: HttpClient) -> None:
        self._base = f"http://{address}"
        self._client = client

    async def _call(self, method: str, path: str, expected_statuses: tuple[int, ...], **options):
        try:
            answer = await self._client.call(method, self._base + path, **options)
        except NoAnswerError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status not in expected_statuses:
            raise StoreUnavailableError(f"{method} {path}: status {answer.status}")
        return answer


def _decode(answer: HttpAnswer, decode_function, *arguments):
    try:
        return decode_function(answer.body, *arguments)
    except MessageError as error:
        raise StoreUnavailableError(str(error)) from error


class HttpObjectStore(_StoreCalls, ObjectStore):
    """Object store over HTTP; `address` is `IP:PORT`."""

    async def get(self, name: str) -> StoredObject | None:
        """Read an object; None if it does not exist.

        Raises StoreUnavailableError.
        """
        answer = await self._call("GET", _object_path(name), (200, 404))
        if answer.status == 404:
            # Only the store's own 404 has a WriteResult as its body; any other 404 is an error.
            _decode(answer, decode, WriteResult)
            return None
        return _decode(answer, decode_object)

    async def put(self, name: str, data: bytes, expected_version: int) -> int:
        """Write an object if its version is the expected one (0: it does not exist).

        Returns the new version. Raises VersionConflictError, or StoreUnavailableError when the
        write may or may not have taken effect.
        """
        return await self._write("PUT", name, data, expected_version)

    async def delete(self, name: str, expected_version: int) -> int:
        """Delete an object if its version is the expected one; return the version of the deletion.

        Raises VersionConflictError, or StoreUnavailableError when it may or may not have
        taken effect.
        """
        return await self._write("DELETE", name, None, expected_version)

    async def _write(
        self, method: str, name: str, data: bytes | None, expected_version: int
    ) -> int:
        # If a reused connection closes before the first byte of the answer, libcurl sends the
        # request again. The second write would conflict with the first, which took effect.
        answer = await self._call(
            method,
            _object_path(name),
            (200, 412),
            body=data,
            headers={"If-Match": str(expected_version)},
            fresh_connection=True,
        )
        result = _decode(answer, decode, WriteResult)
        if answer.status == 412:
            raise VersionConflictError(
                f"{name} has version {result.version}, not {expected_version}"
            )
        return result.version

    async def list(self, prefix: str) -> WatchBatch:
        """List the objects under a prefix.

        Raises StoreUnavailableError.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        return _decode(await self._call("GET", f"/v1/objects?{query}", (200,)), decode_batch)

    async def watch(self, prefixes: tuple[str, ...], since: int, timeout_s: float) -> WatchBatch:
        """Wait up to `timeout_s` for changes under any of the prefixes after position `since`.

        Raises StoreUnavailableError.
        """
        fields = [("prefix", prefix) for prefix in prefixes]
        fields += [("since", str(since)), ("timeout_s", str(timeout_s))]
        path = f"/v1/watch?{urllib.parse.urlencode(fields)}"
        answer = await self._call("GET", path, (200,), timeout_s=timeout_s + 2.0)
        return _decode(answer, decode_batch)


class HttpVmList(_StoreCalls, VmList):
    """VM list over HTTP; `address` is `IP:PORT`."""

    async def fetch(self) -> tuple[VmEntry, ...]:
        """Return live and leaving VMs.

        Raises StoreUnavailableError.
        """
        return _decode(await self._call("GET", "/v1/vms", (200,)), decode_vm_list)


def _object_path(name: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(name)
