"""HTTP exchanges: request bodies, curl transfers, and answers that are streamed or collected."""

from fireflyferry.transport.curl import CurlTransport
from fireflyferry.transport.exchanges import Exchange, Receiver, TransferResult
from fireflyferry.transport.fetch import FetchResult, fetch

__all__ = ["CurlTransport", "Exchange", "FetchResult", "Receiver", "TransferResult", "fetch"]
