"""Clock of a coordinator."""

from buckthorndeal.clocks import read_lease_clock

# A leader whose host resumes from suspension must notice that its lease has expired.
read_clock = read_lease_clock
