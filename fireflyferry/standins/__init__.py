"""Test doubles (stand-ins) for the platform and for upstreams, with fault injection."""
