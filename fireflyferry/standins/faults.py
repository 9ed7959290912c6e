"""Faults injected into stand-ins, optionally limited by caller, operation, key and count."""

import fnmatch

import attrs

from fireflyferry.errors import FireflyferryError

__all__ = ["Fault", "FaultTable", "UnknownFaultError"]


class UnknownFaultError(FireflyferryError):
    """A fault kind or mode that the stand-in does not support."""

    code = "unknown_fault"


@attrs.frozen
class Fault:
    """A fault to inject; empty `callers`, `operations` and `keys` match every request.

    `callers` are shell-style patterns of VM ids, such as `natal-1-*`. `count` is the number of
    requests to which the fault still applies, None for no limit; `delay_s` is in seconds.
    """

    kind: str
    mode: str = ""
    callers: tuple[str, ...] = ()
    operations: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    delay_s: float = 0.0
    count: int | None = None

    def matches(self, kind: str, caller: str, operation: str, key: str = "") -> bool:
        """Return whether the fault applies to a request."""
        return (
            self.kind == kind
            and self.count != 0
            and (not self.operations or operation in self.operations)
            and (not self.keys or key in self.keys)
            and (not self.callers or any(fnmatch.fnmatch(caller, each) for each in self.callers))
        )


class FaultTable:
    """The active faults of one stand-in; `modes` lists the supported modes of each kind."""

    def __init__(self, modes: dict[str, tuple[str, ...]]) -> None:
        self._modes = modes
        self._faults: list[Fault] = []
        self._generation = 0

    @property
    def generation(self) -> int:
        """Number of times that the faults were replaced."""
        return self._generation

    @property
    def faults(self) -> tuple[Fault, ...]:
        """Active faults, with their remaining counts."""
        return tuple(self._faults)

    def replace(self, faults: tuple[Fault, ...]) -> None:
        """Replace the active faults.

        Raises UnknownFaultError and then leaves the active faults unchanged.
        """
        for fault in faults:
            if fault.kind not in self._modes:
                raise UnknownFaultError(f"kind {fault.kind!r}; allowed: {sorted(self._modes)}")
            if fault.mode not in self._modes[fault.kind]:
                raise UnknownFaultError(
                    f"mode {fault.mode!r} of {fault.kind}; allowed: {self._modes[fault.kind]}"
                )
        self._faults = list(faults)
        self._generation += 1

    def find(self, kind: str, caller: str, operation: str, key: str = "") -> Fault | None:
        """Return the first fault that applies, without reducing its count."""
        matching = (each for each in self._faults if each.matches(kind, caller, operation, key))
        return next(matching, None)

    def consume(self, kind: str, caller: str, operation: str, key: str = "") -> Fault | None:
        """Return the first fault that applies and reduce its count by one."""
        fault = self.find(kind, caller, operation, key)
        if fault is not None and fault.count is not None:
            position = self._faults.index(fault)
            self._faults[position] = attrs.evolve(fault, count=fault.count - 1)
        return fault
