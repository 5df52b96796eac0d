"""Errors for requests that too few services have answered."""

from ..exceptions import BackendRejected, DeadlinePassed, Ran

MAX_NAMED_SERVICES = 3


def too_few(subrequests, dispatcher):
    """Return the error for a request when too many services have failed."""
    failed = [
        subrequest for subrequest in subrequests if subrequest.answer is None and subrequest.is_over
    ]
    if all(subrequest.runs == 0 for subrequest in subrequests):
        return dispatcher.unavailable(f"{failed[0].error}")
    return BackendRejected(
        f"{len(failed)} of {len(subrequests)} services failed: {failed[0].error}",
        ran=Ran.UNKNOWN,
    )


def out_of_time(subrequests, dispatcher):
    """Return the error for a request whose deadline has passed."""
    if not any(subrequest.may_have_run for subrequest in subrequests):
        return dispatcher.unavailable("no server received the request in time")
    missing = [subrequest.service for subrequest in subrequests if subrequest.answer is None]
    text = ", ".join(missing[:MAX_NAMED_SERVICES])
    return DeadlinePassed(f"no answer in time from {text}", ran=Ran.UNKNOWN)
