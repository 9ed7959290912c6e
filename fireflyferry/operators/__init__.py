"""The operators' program `fireflyferryctl`."""
