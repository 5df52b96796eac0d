"""Classes of callers' requests, in the order from last to first to be shed."""

URGENT = "urgent"
INTERACTIVE = "interactive"
REPORT = "report"

CLASSES = (URGENT, INTERACTIVE, REPORT)

# A class is admitted while requests of all classes fill less than this fraction of the limit.
CLASS_FRACTIONS = {URGENT: 1.0, INTERACTIVE: 0.85, REPORT: 0.6}
