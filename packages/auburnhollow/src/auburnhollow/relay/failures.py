"""The errors of requests that too few services have answered."""

from ..exceptions import BackendRejected, DeadlinePassed, Ran

NAMED_SERVICES = 3


def too_few(legs, dispatcher):
    """Return the error of a request of which too many services have failed."""
    failed = [leg for leg in legs if leg.answer is None and leg.is_over]
    if all(leg.run == 0 for leg in legs):
        return dispatcher.unavailable(f"{failed[0].error}")
    return BackendRejected(
        f"{len(failed)} of {len(legs)} services failed: {failed[0].error}",
        ran=Ran.UNKNOWN,
    )


def out_of_time(legs, dispatcher):
    """Return the error of a request whose caller stops waiting."""
    if not any(leg.may_have_run for leg in legs):
        return dispatcher.unavailable("no server took the request in time")
    missing = [leg.service for leg in legs if leg.answer is None]
    text = ", ".join(missing[:NAMED_SERVICES])
    return DeadlinePassed(f"no answer in time of {text}", ran=Ran.UNKNOWN)
