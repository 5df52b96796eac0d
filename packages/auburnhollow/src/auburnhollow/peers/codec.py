"""Encoding of messages as msgpack."""

import zlib

import msgpack

from ..exceptions import ProtocolError
from ..records import Record

MAX_MESSAGE_BYTES = 2 * 1024 * 1024
# Bytes read from a connection at a time.
READ_BYTES = 65_536
# 7,300 packed servers take 0.5 MB.
MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024
NO_ANSWER_EXPECTED = 0

_TYPES_BY_NAME = {}
_NAMES_BY_TYPE = {}


class Message(Record):
    """A message between nodes; its fields must be values that msgpack can encode."""

    __slots__ = ()

    @property
    def is_last(self):
        """Whether this is the last answer to its request."""
        return True


def register(name):
    """Class decorator that registers a :class:`Message` under its type name on the wire."""

    def add(message_type):
        _TYPES_BY_NAME[name] = message_type
        _NAMES_BY_TYPE[message_type] = name
        return message_type

    return add


@register("failure")
class Failure(Message):
    """The peer could not answer; ``text`` is the reason."""

    __slots__ = ("text",)


@register("done")
class Done(Message):
    """The peer handled the message and has no other answer."""

    __slots__ = ()


@register("cancel")
class Cancel(Message):
    """The requester wants no more answers to its request ``number``."""

    __slots__ = ("number",)


def pack(message, number=NO_ANSWER_EXPECTED):
    """Return the encoded message.

    :param number: request number that links an answer to its request; 0 when no answer is
        expected.
    """
    return msgpack.packb([_NAMES_BY_TYPE[type(message)], number, message.to_short_list()])


def unpack(frame):
    """Return ``(message, number)`` from an unpacked frame.

    :raises ProtocolError: when the frame is not a message.
    """
    try:
        name, number, fields = frame
        return _TYPES_BY_NAME[name].from_list(fields), number
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"invalid message: {error!r}") from error


def compress(values):
    """Return values as compressed msgpack.

    Long lists are repetitive, and links between data centres are costly.
    """
    return zlib.compress(msgpack.packb(values), level=1)


def decompress(data):
    """Return the values in compressed msgpack.

    :raises ProtocolError: when the data is invalid or exceeds ``MAX_DECOMPRESSED_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ProtocolError("compressed data is truncated or too large")
        return msgpack.unpackb(packed, strict_map_key=False)
    except (TypeError, ValueError, zlib.error, msgpack.UnpackException) as error:
        raise ProtocolError(f"invalid compressed msgpack: {error!r}") from error


def new_unpacker():
    """Return a streaming unpacker that limits the size of one message."""
    return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)


def feed(unpacker, data):
    """Feed bytes to the unpacker and return a list of ``(message, number)`` of complete messages.

    :raises ProtocolError: when the bytes are not valid messages.
    """
    try:
        unpacker.feed(data)
        return [unpack(frame) for frame in unpacker]
    except ProtocolError:
        raise
    except Exception as error:
        raise ProtocolError(f"invalid msgpack: {error!r}") from error
