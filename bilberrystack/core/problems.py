"""Problems that validation finds in declarations and changes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A value that breaks a rule.

    Attributes:
      field: The path of the field, as "groups.diary-1.members.a.connections".
      value: The value as text; empty if there is none.
      rule: The rule that it breaks.
    """

    field: str
    value: str
    rule: str

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        return f"{self.field}{shown}: {self.rule}"
