"""Names of headers, paths and documents that the platform uses on the wire."""

from fireflyferry.gateway.edges import HeaderNames

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "ERA_HEADER",
    "EVACUATION_KIND",
    "GRANT_PATH",
    "HANDOVER_HEADER",
    "HEADERS",
    "RELEASE_PATH",
    "SETTINGS_VARIABLE",
    "UPSTREAM_KIND",
]

SETTINGS_VARIABLE = "FIREFLYFERRY_BOOT"

HEADERS = HeaderNames(
    request_id="Fireflyferry-Request-Id",
    deadline_ms="Fireflyferry-Deadline-Ms",
    signature="Fireflyferry-Response-Signature",
    expected_upstream="Fireflyferry-Expected-Instance",
    not_run="Fireflyferry-Not-Executed",
    key="Fireflyferry-Shard-Key",
    leaving="Server-Leaving",
    load="Fireflyferry-Server-Load",
    warmup_ms="Fireflyferry-Warmup-Ms",
)
HANDOVER_HEADER = "Fireflyferry-Handover"
ERA_HEADER = "Store-Era"

CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"
EVACUATION_KIND = "evacuations"

GRANT_PATH = "/grant"
RELEASE_PATH = "/release"
