"""Metrics and events."""

import socket

from auburnhollow.clock import ManualClock
from auburnhollow.events import Recorder
from auburnhollow.metrics import MAX_SERIES, OTHER, Metrics, timed

TIMEOUT_S = 10.0


def test_counts_gauges_and_timings_are_sent_by_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(TIMEOUT_S)
        metrics = Metrics(f"127.0.0.1:{server.getsockname()[1]}")
        metrics.incr("scatter.hedges", 2)
        metrics.gauge("limits.busy", 7)
        clock = ManualClock()
        with timed(metrics, clock, "front.search_ms"):
            clock.advance(12.0)
        sent = [server.recv(1024).decode() for _ in range(3)]
    assert sent == [
        "auburnhollow.scatter.hedges:2|c",
        "auburnhollow.limits.busy:7|g",
        "auburnhollow.front.search_ms:12.000000|ms",
    ]
    assert metrics.counts == {"scatter.hedges": 2}


def test_counts_are_kept_without_a_statsd_server():
    metrics = Metrics()
    metrics.incr("a")
    metrics.incr("a", 4)
    metrics.timing("b", 1.0)
    assert metrics.counts == {"a": 5}


def test_events_are_bounded_and_carry_process_clock_and_details():
    clock = ManualClock(start_ms=100.0)
    recorder = Recorder("node-1", clock, capacity=3)
    for number in range(5):
        recorder.record("shed", count=number)
        clock.advance(10.0)
    events = recorder.since(130)
    assert [event.details["count"] for event in recorder.since()] == [2, 3, 4]
    assert [(event.process, event.at_ms, event.sequence) for event in events] == [
        ("node-1", 130, 4),
        ("node-1", 140, 5),
    ]
    assert recorder.counts == {"shed": 5}


def test_label_combinations_are_limited():
    metrics = Metrics()
    for number in range(MAX_SERIES + 50):
        metrics.incr_labelled("front.requests", route=f"r-{number}", outcome="whole")
    metrics.incr_labelled("front.requests", route="r-1", outcome="whole")
    counts = metrics.labelled_counts["front.requests"]
    assert len(counts) == MAX_SERIES + 1
    assert counts[(("route", OTHER), ("outcome", OTHER))] == 50
    assert counts[(("route", "r-1"), ("outcome", "whole"))] == 2
