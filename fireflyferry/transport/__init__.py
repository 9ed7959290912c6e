"""HTTP exchanges: bodies, curl transfers, and whole answers."""

from fireflyferry.transport.curl import CurlTransport, Exchange, Receiver, TransferResult
from fireflyferry.transport.fetch import FetchResult, fetch

__all__ = ["CurlTransport", "Exchange", "FetchResult", "Receiver", "TransferResult", "fetch"]
