"""Problems found by the validation of declarations and changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Violation of a rule by one value.

    Attributes:
      field: Path of the field, for example "groups.diary-1.members.a.connections".
      value: The value as text; empty if there is none.
      rule: The violated rule.
    """

    field: str
    value: str
    rule: str

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        return f"{self.field}{shown}: {self.rule}"
