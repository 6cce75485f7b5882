"""Tests of state charts."""

import unittest

from buckthorndeal.charts import create_chart, load_chart
from buckthorndeal.errors import ChartError, Verdict


class ChartTest(unittest.TestCase):
    """Charts of the package, and malformed ones."""

    def test_dispatch_changes_the_verdict_to_may_have_run(self):
        """Guards against a dispatched request that is reported as not run."""
        chart = load_chart("request")
        state = chart.initial
        for event in ("admit", "claim", "connect"):
            state = chart.advance(state, event)
            self.assertIs(chart.get_verdict(state), Verdict.NOT_RUN)
        state = chart.advance(state, "dispatch")
        self.assertIs(chart.get_verdict(state), Verdict.MAY_HAVE_RUN)

    def test_no_state_after_dispatch_leads_back_to_not_run(self):
        """Guards against a chart in which a dispatched request can become not run."""
        chart = load_chart("request")
        reached = chart.list_reachable("dispatched")
        verdicts = {chart.get_verdict(state) for state in reached}
        self.assertNotIn(Verdict.NOT_RUN, verdicts)

    def test_draining_endpoint_does_not_become_ready(self):
        """Guards against a late announcement that makes a draining endpoint ready."""
        chart = load_chart("endpoint")
        self.assertFalse(chart.allows("draining", "announce"))
        self.assertFalse(chart.allows("left", "announce"))
        self.assertEqual(chart.advance("draining", "expire"), "left")

    def test_event_that_is_not_allowed_raises(self):
        """Guards against ignoring an event that the chart does not allow."""
        with self.assertRaises(ChartError):
            load_chart("request").advance("answered", "dispatch")

    def test_unknown_state_in_description_raises(self):
        """Guards against a misspelt state that is noticed only when it is reached."""
        with self.assertRaises(ChartError):
            create_chart(
                {
                    "states": ["a"],
                    "initial": "a",
                    "transitions": [{"trigger": "go", "source": "a", "dest": "b"}],
                }
            )


if __name__ == "__main__":
    unittest.main()
