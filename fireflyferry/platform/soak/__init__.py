"""Randomised fault soak: real entry VM processes against stand-ins of the platform."""
