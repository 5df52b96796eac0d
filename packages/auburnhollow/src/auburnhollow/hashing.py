"""Hashes that are the same in every process."""

import hashlib


def hash_of(*texts):
    """Return a 64-bit hash of several texts."""
    body = "\0".join(texts).encode()
    return int.from_bytes(hashlib.blake2b(body, digest_size=8).digest(), "big")


def ranked(subject, candidates):
    """Return ``candidates`` in the order of rendezvous hashing for ``subject``.

    Adding or removing a candidate does not change the order of the others.
    """
    return sorted(candidates, key=lambda name: hash_of(subject, name), reverse=True)


def first_ranked(subject, candidates):
    """Return the first of :func:`ranked`, or ``None`` when there is no candidate."""
    return max(candidates, key=lambda name: hash_of(subject, name), default=None)
