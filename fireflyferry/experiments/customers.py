"""The two customers at their present sizes: data centres, services and tables."""

import attrs

from fireflyferry.tables import Pool, Route, Tables

__all__ = ["CAATINGA", "PARBRETT", "Customer", "Service", "make_tables"]


@attrs.frozen
class Service:
    """A service of a customer.

    `instances` is their number over all data centres; `slots` and `connections` are the limits of
    each instance.
    """

    name: str
    instances: int
    slots: int
    connections: int
    idempotent: bool
    timeout_ms: int = 2000


@attrs.frozen
class Customer:
    """A customer with its data centres by region; the weights are settings of its pools."""

    name: str
    regions: dict[str, tuple[str, str]]
    services: tuple[Service, ...]
    tenants: dict[str, int]
    imbalance_weight: float
    unavailable_weight: float
    groups_per_data_centre: int = 1

    @property
    def data_centres(self) -> tuple[tuple[str, str], ...]:
        """All (region, data centre) pairs."""
        return tuple(
            (region, data_centre) for region, names in self.regions.items() for data_centre in names
        )


def _regions(*names: str) -> dict[str, tuple[str, str]]:
    return {name: (f"{name}-1", f"{name}-2") for name in names}


CAATINGA = Customer(
    "caatinga",
    _regions("fortaleza", "natal", "recife"),
    (
        Service("janela", 15, 2, 130, idempotent=True),
        Service("reserva", 12, 2, 130, idempotent=False),
        Service("acervo", 14, 2, 130, idempotent=True, timeout_ms=20_000),
    ),
    {"antena": 1, "pesca": 1, "agro-a": 1, "agro-b": 1},
    imbalance_weight=1.0,
    unavailable_weight=3.0,
)

PARBRETT = Customer(
    "parbrett",
    _regions("ostland", "vestland", "nordland"),
    (
        Service("tabell", 12, 4, 110, idempotent=True),
        Service("rundeplan", 12, 4, 110, idempotent=False),
        Service("bordvakt", 12, 4, 110, idempotent=True),
    ),
    {"forbund-a": 1, "forbund-b": 1, "forbund-c": 1},
    imbalance_weight=3.0,
    unavailable_weight=1.0,
)


def make_tables(customer: Customer, revision: int = 1, buckets: int = 240) -> Tables:
    """Return the routes and pools of a customer."""
    data_centres = tuple(data_centre for _, data_centre in customer.data_centres)
    routes = tuple(
        Route(
            service.name,
            f"/{service.name}/",
            service.name,
            "path:0",
            idempotent=service.idempotent,
            timeout_ms=service.timeout_ms,
        )
        for service in customer.services
    )
    pools = tuple(
        Pool(
            service.name,
            data_centres,
            buckets=buckets,
            groups_per_data_centre=customer.groups_per_data_centre,
            tenants=customer.tenants,
            imbalance_weight=customer.imbalance_weight,
            unavailable_weight=customer.unavailable_weight,
        )
        for service in customer.services
    )
    return Tables(revision, routes, pools, author="demo")
