"""Messages as msgpack."""

import zlib

import msgpack

from ..exceptions import ProtocolError
from ..records import Record

LONGEST_MESSAGE = 2 * 1024 * 1024
# What is read from a connection at a time.
READ_BYTES = 65_536
# 7,300 servers take 0.5 MB.
MOST_DECOMPRESSED = 8 * 1024 * 1024
NO_ANSWER = 0

_TYPES = {}
_NAMES = {}


class Message(Record):
    """A message between nodes; its fields are what msgpack can hold."""

    __slots__ = ()

    @property
    def is_last(self):
        """Whether no other answer to the same question follows this one."""
        return True


def register(name):
    """Class decorator: let a :class:`Message` travel under ``name``."""

    def add(message_type):
        _TYPES[name] = message_type
        _NAMES[message_type] = name
        return message_type

    return add


@register("failure")
class Failure(Message):
    """The peer could not answer; ``text`` says why."""

    __slots__ = ("text",)


@register("done")
class Done(Message):
    """The peer took the message and has nothing to say."""

    __slots__ = ()


@register("cancel")
class Cancel(Message):
    """The asker wants no more answers to its question ``number``."""

    __slots__ = ("number",)


def pack(message, number=NO_ANSWER):
    """Return the bytes of a message.

    :param number: ties an answer to its question; 0 when none is expected.
    """
    return msgpack.packb([_NAMES[type(message)], number, message.to_list()])


def unpack(frame):
    """Return ``(message, number)`` from what the unpacker gave.

    :raises ProtocolError: when it is not a message.
    """
    try:
        name, number, fields = frame
        return _TYPES[name].from_list(fields), number
    except (KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a message: {error!r}") from error


def compress(values):
    """Return plain lists as compressed bytes: long ones repeat themselves, and links are costly."""
    return zlib.compress(msgpack.packb(values), level=1)


def decompress(data):
    """Return the plain lists in compressed bytes.

    :raises ProtocolError: when there are none, or more than a message may hold.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, MOST_DECOMPRESSED)
        if not decompressor.eof:
            raise ProtocolError("not whole, or too long")
        return msgpack.unpackb(packed, strict_map_key=False)
    except (TypeError, ValueError, zlib.error, msgpack.UnpackException) as error:
        raise ProtocolError(f"not compressed msgpack: {error!r}") from error


def new_unpacker():
    """Return a streaming unpacker that bounds what one message may hold."""
    return msgpack.Unpacker(max_buffer_size=LONGEST_MESSAGE, strict_map_key=False)


def feed(unpacker, data):
    """Feed bytes to the unpacker and return the list of ``(message, number)`` that are whole.

    :raises ProtocolError: when the bytes are not messages.
    """
    try:
        unpacker.feed(data)
        return [unpack(frame) for frame in unpacker]
    except ProtocolError:
        raise
    except Exception as error:
        raise ProtocolError(f"not msgpack: {error!r}") from error
