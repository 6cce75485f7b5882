"""Tests of state charts."""

import unittest

from buckthorndeal.charts import create_chart, load_chart
from buckthorndeal.errors import ChartError, Verdict


class ChartTest(unittest.TestCase):
    """The charts that are shipped, and malformed ones."""

    def test_bytes_sent_make_the_verdict_may_have_run(self):
        """Guards against a dispatched request reported as not run."""
        chart = load_chart("request")
        state = chart.initial
        for event in ("admit", "claim", "connect"):
            state = chart.advance(state, event)
            self.assertIs(chart.get_verdict(state), Verdict.NOT_RUN)
        state = chart.advance(state, "dispatch")
        self.assertIs(chart.get_verdict(state), Verdict.MAY_HAVE_RUN)

    def test_no_state_after_dispatch_leads_back_to_not_run(self):
        """Guards against a chart edit that loses the fact of a dispatch."""
        chart = load_chart("request")
        reached = chart.list_reachable("dispatched")
        verdicts = {chart.get_verdict(state) for state in reached}
        self.assertNotIn(Verdict.NOT_RUN, verdicts)

    def test_draining_endpoint_does_not_become_ready(self):
        """Guards against a late announcement that revives a draining endpoint."""
        chart = load_chart("endpoint")
        self.assertFalse(chart.allows("draining", "announce"))
        self.assertFalse(chart.allows("left", "announce"))
        self.assertEqual(chart.advance("draining", "expire"), "left")

    def test_event_not_allowed_raises(self):
        """Guards against an unknown event that is ignored."""
        with self.assertRaises(ChartError):
            load_chart("request").advance("answered", "dispatch")

    def test_unknown_state_in_description_raises(self):
        """Guards against a misspelt state that is found only at run time."""
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
