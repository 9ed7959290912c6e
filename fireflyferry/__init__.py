"""Route each request to the one upstream that owns its key."""

__all__ = ["__version__"]

__version__ = "0.1.0"
