"""Conditions under which a series of faults is played: the clients' data, the members' answers."""

import dataclasses
import random

from bilberrystack_standins import line_group
from soak import site

# Share of the seeds for which each condition holds.
SHARE = 0.3

# Parts of data that any field at the end of a line may have. Some look like a message of their own
# if a line is cut at a line feed.
PARTS = (
    *("\n", "\r", "\t", " ", "  ", "\x00", "\x0b", "\x0c", "\x1c", "\x85", "\u2028", "\ufeff", "é"),
    *("\nQUERY hidden WRITE item0 hidden", "\nCOMMIT", "\nBYE", "\rROW hidden", "\nROW hidden"),
    *("\nDONE proof-a-hidden", "\nDONE -", "\nERR BUSY a", "\nREADY I -", " READY T 1.1"),
)
MAX_PARTS = 4

# Faulty answers of members. A slow second answer arrives while the connection has its next user.
FAULTY_ANSWERS = dataclasses.replace(
    site.GROUP_OPTIONS,
    repeated_share=0.04,
    repeated_start_share=0.04,
    truncated_repetition_share=0.1,
    truncated_share=0.004,
    split_share=0.2,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions of a play.

    Attributes:
      any_characters: Whether data, values, shapes and the texts of errors have any characters that
        the protocol permits.
      faulty_answers: Whether members send answers twice, late, in pieces or in part.
      varied_rows: Whether reads return several rows or none.
    """

    any_characters: bool = False
    faulty_answers: bool = False
    varied_rows: bool = False


def draw(seed: int) -> Conditions:
    """Returns the conditions of a seed, drawn apart from its series of faults.

    The seeds in KNOWN-RED.txt and in soaking_test.py have the usual conditions.
    """
    rng = random.Random(f"data {seed} answers")
    return Conditions(rng.random() < SHARE, rng.random() < SHARE)


def group_options(conditions: Conditions, seed: int) -> line_group.GroupOptions:
    """Returns the options of the group under the conditions of a play."""
    options = FAULTY_ANSWERS if conditions.faulty_answers else site.GROUP_OPTIONS
    error_text = draw_text("error", random.Random(seed)) if conditions.any_characters else ""
    return dataclasses.replace(
        options, error_text=error_text, varied_rows=conditions.varied_rows, seed=seed
    )


def draw_text(text: str, rng: random.Random) -> str:
    """Returns a text with parts before and after it that the protocol permits in a last field."""
    parts = rng.choices(PARTS, k=rng.randint(0, MAX_PARTS))
    parts.insert(rng.randint(0, len(parts)), text)
    drawn = "".join(parts)
    while "\r\n" in drawn:
        drawn = drawn.replace("\r\n", "\n")
    return drawn
