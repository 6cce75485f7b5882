"""State charts: life cycles that are defined in data files."""

import functools
from importlib import resources

import jsonc
from transitions import Machine, MachineError

from buckthorndeal.errors import ChartError, Verdict

__all__ = ["Chart", "create_chart", "load_chart"]


class Chart:
    """Life cycle, compiled to a transition table.

    The table keeps the `transitions` library off the per-request path, where finding
    the next state takes only a dictionary lookup.

    Parameters
    ----------
    initial : str
        Initial state.
    table : dict
        Maps (state, event) to the next state.
    verdicts : dict
        Maps a state to its `Verdict` if the chart defines one.
    """

    def __init__(
        self,
        initial: str,
        table: dict[tuple[str, str], str],
        verdicts: dict[str, Verdict],
    ) -> None:
        self.initial = initial
        self._table = table
        self._verdicts = verdicts

    def advance(self, state: str, event: str) -> str:
        """Return the state after `event`.

        Raises
        ------
        ChartError
            If `event` is not allowed in `state`.
        """
        try:
            return self._table[state, event]
        except KeyError:
            raise ChartError(
                f"event {event!r} is not allowed in state {state!r}"
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Return whether `event` is allowed in `state`."""
        return (state, event) in self._table

    def list_reachable(self, state: str) -> set[str]:
        """Return `state` and all states that are reachable from it."""
        reached = {state}
        while True:
            targets = {
                target
                for (source, _), target in self._table.items()
                if source in reached
            }
            if targets <= reached:
                return reached
            reached |= targets

    def get_verdict(self, state: str) -> Verdict:
        """Return the verdict of `state`.

        Raises
        ------
        ChartError
            If the chart defines no verdict for `state`.
        """
        try:
            return self._verdicts[state]
        except KeyError:
            raise ChartError(f"state {state!r} has no verdict") from None


def create_chart(description: dict) -> Chart:
    """Compile a chart description.

    Parameters
    ----------
    description : dict
        Arguments of `transitions.Machine` (`states`, `transitions`, `initial`) and
        optionally `verdicts`, a mapping of states to values of `Verdict`.

    Returns
    -------
    Chart
        The compiled chart.

    Raises
    ------
    ChartError
        If the description is malformed.
    """
    try:
        machine = Machine(
            model=None,
            states=description["states"],
            transitions=description["transitions"],
            initial=description["initial"],
            auto_transitions=False,
        )
        verdicts = {
            state: Verdict(value)
            for state, value in description.get("verdicts", {}).items()
        }
        for state in (*verdicts, *_list_targets(machine)):
            machine.get_state(state)
    except (KeyError, TypeError, ValueError, MachineError) as error:
        raise ChartError(f"malformed state chart: {error}") from error
    table = {
        (source, name): transition.dest
        for name, event in machine.events.items()
        for source, transitions in event.transitions.items()
        for transition in transitions
    }
    return Chart(description["initial"], table, verdicts)


def _list_targets(machine: Machine) -> list[str]:
    return [transition.dest for transition in machine.get_transitions()]


@functools.cache
def load_chart(name: str) -> Chart:
    """Load a chart that is part of the package.

    Parameters
    ----------
    name : str
        File name without suffix, such as ``request``.

    Returns
    -------
    Chart
        The compiled chart; the same object for the same name.
    """
    file = resources.files("buckthorndeal") / "charts" / f"{name}.jsonc"
    return create_chart(jsonc.loads(file.read_text(encoding="utf-8")))
