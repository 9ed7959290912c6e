"""Adapter to the users' platform, which runs the entry VMs and the upstreams.

It holds header names, document formats and HTTP calls, but no routing logic.
"""
