"""Stand-ins for the platform and for upstreams, with fault injection, used by tests."""
