"""Large answers take turns, so that those that are sent arrive in time."""

import asyncio

import pytest

from auburnhollow_standins.virtual import VirtualClock, run_virtually

from ..turns import LARGE_BYTES, MAX_LARGE_ANSWERS, MAX_TURN_MS, MAX_WAIT_MS, AnswerTurns


def play(sizes, transfer_ms):
    """Return when each answer was sent, ``None`` for refused ones, and the most at a time."""

    async def run():
        clock = VirtualClock()
        turns = AnswerTurns(clock)
        sending = []
        most = 0

        async def send(size):
            nonlocal most
            async with turns.turn(size) as has_turn:
                if not has_turn:
                    return None
                sending.append(size)
                most = max(most, len([each for each in sending if each >= LARGE_BYTES]))
                await clock.sleep(transfer_ms)
                sending.remove(size)
            return clock.now_ms()

        return await asyncio.gather(*(send(size) for size in sizes)), most

    return run_virtually(run())


def test_few_large_answers_are_sent_at_a_time_and_in_order():
    sent_ms, most = play([LARGE_BYTES] * 6, transfer_ms=50.0)
    assert most == MAX_LARGE_ANSWERS
    assert sent_ms == pytest.approx([50.0, 50.0, 100.0, 100.0, 150.0, 150.0], abs=1.0)


def test_an_answer_whose_turn_does_not_come_soon_is_refused():
    sent_ms, _most = play([LARGE_BYTES] * 20, transfer_ms=100.0)
    served = [each for each in sent_ms if each is not None]
    assert len(served) == 6
    assert max(served) <= MAX_WAIT_MS + 100.0
    assert sent_ms[len(served) :] == [None] * 14


def test_small_answers_never_wait():
    sent_ms, _most = play([LARGE_BYTES] * 20 + [LARGE_BYTES - 1] * 20, transfer_ms=100.0)
    assert sent_ms[20:] == pytest.approx([100.0] * 20, abs=1.0)


def test_a_cancelled_answer_gives_its_turn_back():
    async def run():
        clock = VirtualClock()
        turns = AnswerTurns(clock)

        async def send():
            async with turns.turn(LARGE_BYTES) as has_turn:
                await clock.sleep(60_000.0)
                return has_turn

        sends = [asyncio.ensure_future(send()) for _ in range(MAX_LARGE_ANSWERS)]
        await clock.sleep(10.0)
        for each in sends:
            each.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        async with turns.turn(LARGE_BYTES) as has_turn:
            return has_turn

    assert run_virtually(run())


def test_a_requester_that_stops_reading_does_not_keep_its_turn():
    async def run():
        clock = VirtualClock()
        turns = AnswerTurns(clock)

        async def send(transfer_ms):
            async with turns.turn(LARGE_BYTES) as has_turn:
                await clock.sleep(transfer_ms)
                return has_turn

        silent = [asyncio.ensure_future(send(600_000.0)) for _ in range(MAX_LARGE_ANSWERS)]
        await clock.sleep(MAX_TURN_MS + 1.0)
        sent = await asyncio.gather(*(send(10.0) for _ in range(4)))
        for each in silent:
            each.cancel()
        await asyncio.gather(*silent, return_exceptions=True)
        # Turns that have ended are not given back again.
        later, most = play_on(turns, clock)
        return sent, await later, most()

    sent, later, most = run_virtually(run())
    assert sent == [True] * 4
    assert later == [True] * 4
    assert most == MAX_LARGE_ANSWERS


def play_on(turns, clock):
    """Send four large answers; return what to await for their turns, and the most at a time."""
    counts = [0]
    sending = []

    async def send():
        async with turns.turn(LARGE_BYTES) as has_turn:
            sending.append(1)
            counts.append(len(sending))
            await clock.sleep(10.0)
            sending.pop()
            return has_turn

    return asyncio.gather(*(send() for _ in range(4))), lambda: max(counts)
