"""Crowds of callers against the processes of entry VMs on loopback."""
