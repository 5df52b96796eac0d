"""The bounds on what answers may take of memory and processor time."""

import asyncio

import pytest
from aiohttp import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError

from ..connections import (
    LARGE_ANSWER_BYTES,
    MAX_HEAD_BYTES,
    MAX_OVERHEAD_BYTES,
    AnswerMemory,
    BoundedResponseHandler,
    OversizedAnswer,
)

MAX_BYTES = 1_000


class FakeAnswer:
    """Records why it failed."""

    def __init__(self):
        self.failures = []

    def fail(self, _text, error_type):
        """Record a failure."""
        self.failures.append(error_type)


def test_the_largest_answer_fails_and_the_others_go_on():
    memory = AnswerMemory(MAX_BYTES)
    faulty, sound = FakeAnswer(), [FakeAnswer() for _ in range(10)]
    for answer in sound:
        memory.hold(answer, 50)
    for _ in range(11):
        memory.hold(faulty, 50)
    assert len(faulty.failures) == 1
    assert not any(answer.failures for answer in sound)
    assert memory.held_bytes == 500


def test_a_sound_answer_that_comes_last_does_not_fail():
    memory = AnswerMemory(MAX_BYTES)
    faulty, sound = FakeAnswer(), FakeAnswer()
    memory.hold(faulty, MAX_BYTES)
    memory.hold(sound, 1)
    assert (len(faulty.failures), sound.failures) == (1, [])


def test_many_faulty_answers_fail_one_after_the_other():
    memory = AnswerMemory(MAX_BYTES)
    answers = [FakeAnswer() for _ in range(42)]
    for _ in range(20):
        for answer in answers:
            if not answer.failures:
                memory.hold(answer, 10)
            assert memory.held_bytes <= MAX_BYTES
    assert {len(answer.failures) for answer in answers} == {0, 1}


def test_complete_answers_count_no_longer():
    memory = AnswerMemory(MAX_BYTES)
    for _ in range(100):
        answer = FakeAnswer()
        memory.hold(answer, 500)
        memory.release(answer)
        assert answer.failures == []
    assert memory.held_bytes == 0


def test_an_answer_larger_than_the_bound_fails_alone():
    memory = AnswerMemory(MAX_BYTES)
    faulty = FakeAnswer()
    memory.hold(faulty, MAX_BYTES + 1)
    assert len(faulty.failures) == 1
    assert memory.held_bytes == 0


def test_only_a_large_answer_is_held_against_its_server():
    small, large = FakeAnswer(), FakeAnswer()
    memory = AnswerMemory(LARGE_ANSWER_BYTES)
    memory.hold(small, LARGE_ANSWER_BYTES)
    memory.hold(FakeAnswer(), 1)
    memory = AnswerMemory(LARGE_ANSWER_BYTES)
    memory.hold(large, LARGE_ANSWER_BYTES + 1)
    assert (small.failures, large.failures) == ([ClientPayloadError], [OversizedAnswer])


def test_large_answers_that_are_complete_take_half_of_the_memory_until_they_are_deleted():
    memory = AnswerMemory(10 * LARGE_ANSWER_BYTES)
    size = 2 * LARGE_ANSWER_BYTES
    answers = [FakeAnswer() for _ in range(3)]
    assert [memory.keep(answer, size) for answer in answers] == [True, True, False]
    assert memory.keep(FakeAnswer(), LARGE_ANSWER_BYTES)
    assert memory.kept_bytes == 2 * size
    del answers[0]
    assert memory.kept_bytes == size
    assert memory.keep(answers[-1], size)


class FakeTransport(asyncio.Transport):
    """Records that it was closed."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def abort(self):
        """Close at once."""
        self.is_aborted = True

    def close(self):
        """Close."""
        self.is_aborted = True

    def is_closing(self):
        """Return whether it was closed."""
        return self.is_aborted

    def pause_reading(self):
        """Do nothing."""

    def resume_reading(self):
        """Do nothing."""


def start_answer():
    """Return a connection that waits for an answer, and its transport."""
    memory = AnswerMemory(24 * 1024 * 1024)
    handler = BoundedResponseHandler(asyncio.get_running_loop(), 4 * 1024 * 1024, memory)
    transport = FakeTransport()
    handler.connection_made(transport)
    handler.set_response_params()
    return handler, transport


def receive(data):
    """Hand an answer with chunks to a connection, as one read of its socket.

    Return whether it was cut, how many bytes of its body were parsed, and whether it is complete.
    """

    async def run():
        handler, transport = start_answer()
        handler.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data)
        _message, payload = await handler.read()
        return transport.is_aborted, payload.total_bytes, payload.is_eof()

    return asyncio.run(run())


def chunks(size, count):
    """Return some chunks of one size, without an end."""
    return (f"{size:x}\r\n".encode() + b"x" * size + b"\r\n") * count


@pytest.mark.parametrize(
    "data",
    [
        chunks(1, 40_000),
        chunks(2, 30_000),
        b"1;" + b"x" * 250_000,
    ],
    ids=["chunks of one byte", "chunks of two bytes", "a chunk extension"],
)
def test_an_answer_without_a_body_to_speak_of_is_cut_after_little_work(data):
    is_cut, parsed_bytes, _is_complete = receive(data)
    assert is_cut
    assert parsed_bytes < MAX_OVERHEAD_BYTES


def test_chunks_of_one_byte_after_a_large_body_are_cut_after_little_work():
    size = 2 * LARGE_ANSWER_BYTES
    is_cut, parsed_bytes, _is_complete = receive(chunks(size, 1) + chunks(1, 200_000))
    assert is_cut
    assert parsed_bytes < 1.5 * size


def test_a_head_without_end_is_cut_after_little_work():
    async def run():
        handler, transport = start_answer()
        handler.data_received(b"HTTP/1.1 200 OK\r\n")
        lines = 0
        while not transport.is_aborted and lines < 1_000:
            handler.data_received(b"X-More: " + b"x" * 7_000 + b"\r\n")
            lines += 1
        return lines, handler.exception()

    lines, error = asyncio.run(run())
    assert lines * 7_000 < 1.2 * MAX_HEAD_BYTES
    assert isinstance(error, OversizedAnswer)


def test_trailers_without_end_fail_the_answer():
    with pytest.raises(HttpProcessingError):
        receive(b"0\r\n" + b"X-More: 1\r\n" * 10_000)


@pytest.mark.parametrize(("size", "count"), [(1, 500), (16, 10_000), (1_000, 200), (65_536, 7)])
def test_an_answer_in_chunks_of_a_usual_size_is_whole(size, count):
    assert receive(chunks(size, count) + b"0\r\n\r\n") == (False, size * count, True)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("read_bytes", [1_000, 65_536, 262_144])
def test_a_large_answer_is_whole_although_its_reader_is_slower(is_chunked, read_bytes):
    body = b"x" * (2 * 1024 * 1024)

    async def run():
        handler, _transport = start_answer()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2097152\r\n\r\n" + body
        if is_chunked:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            head += b"200000\r\n" + body + b"\r\n0\r\n\r\n"
        for start in range(0, len(head), read_bytes):
            handler.data_received(head[start : start + read_bytes])
        _message, payload = await handler.read()
        async with asyncio.timeout(5):
            return await payload.read()

    assert asyncio.run(run()) == body
