"""Classes of callers' requests, from the last to be shed to the first."""

URGENT = "urgent"
INTERACTIVE = "interactive"
REPORT = "report"

CLASSES = (URGENT, INTERACTIVE, REPORT)

# The part of the limit that a class may fill, all classes counted.
FILL = {URGENT: 1.0, INTERACTIVE: 0.85, REPORT: 0.6}
