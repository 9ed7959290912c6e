"""What an upstream does wrong with some of its answers."""

from enum import Flag, auto

__all__ = ["PROBABILITIES", "Misbehaviour"]


class Misbehaviour(Flag):
    """Faults of answers, which may be active together."""

    NONE = 0
    LOSES_ANSWERS = auto()  # closes the connection of a request that it ran
    DELAYS_GRANTS = auto()  # carries out a grant seconds later, without an answer
    REPEATS_ORDER_ANSWERS = auto()  # writes an earlier answer to a grant or release once more
    REPEATS_REFUSALS = auto()  # refuses at times, and writes refusals once more
    BREAKS_HEADS = auto()  # closes the connection inside the head of an answer


# Shares of the answers that are affected while a fault is active.
PROBABILITIES = {
    Misbehaviour.LOSES_ANSWERS: 0.3,
    Misbehaviour.DELAYS_GRANTS: 0.5,
    Misbehaviour.REPEATS_ORDER_ANSWERS: 0.5,
    Misbehaviour.REPEATS_REFUSALS: 0.5,
    Misbehaviour.BREAKS_HEADS: 0.3,
}
