"""Soak test with random faults: real entry VM processes against stand-ins for the platform."""
