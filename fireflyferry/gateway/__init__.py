"""Entry VM on a platform that lists upstreams and keeps configuration and leases in a store."""
