"""Collects the numbered errors of one document."""

from collections.abc import Iterable

from papayalock.messages import Problem
from papayalock.result import Code


class Problems:
    """Numbered errors of a document; validation goes on after the first."""

    __slots__ = ('items',)

    def __init__(self) -> None:
        """Starts without errors."""
        self.items: list[Problem] = []

    def add(self, code: Code, where: str, message: str) -> None:
        """Adds one error.

        :param where: the place in the document, such as ``service[2].slots``
        """
        problem = Problem(code=code.value, where=where, message=message)
        self.items.append(problem)

    def add_duplicates(self, names: Iterable[str], kind: str) -> None:
        """Adds an error for each repeated occurrence of a name."""
        seen: set[str] = set()
        for name in names:
            if name in seen:
                self.add(
                    Code.DUPLICATE, f'{kind}[{name}]', 'name is used twice'
                )
            seen.add(name)
