"""Blocking HTTP requests for the experiments, with libcurl."""

import io

import orjson
import pycurl

__all__ = ["fetch", "fetch_json"]

TIMEOUT_MS = 5000


def fetch(
    url: str, method: str = "GET", body: bytes = b"", headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    """Send a request and return status and body.

    Raises pycurl.error if there is no response.
    """
    curl = pycurl.Curl()
    output = io.BytesIO()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.TIMEOUT_MS, TIMEOUT_MS)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.WRITEDATA, output)
    if body:
        curl.setopt(pycurl.POSTFIELDS, body)
    lines = [f"{name}: {value}" for name, value in (headers or {}).items()]
    curl.setopt(pycurl.HTTPHEADER, ["Expect:", *lines])
    try:
        curl.perform()
        return curl.getinfo(pycurl.RESPONSE_CODE), output.getvalue()
    finally:
        curl.close()


def fetch_json(url: str) -> dict:
    """Send a GET and return the decoded JSON body.

    Raises pycurl.error if there is no response, and orjson.JSONDecodeError.
    """
    return orjson.loads(fetch(url)[1])
