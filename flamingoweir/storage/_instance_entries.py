"""Decodes the platform's list of instances, entry by entry."""

import dataclasses
import ipaddress
import re

import pydantic

from ..faults import FaultLog
from ..transport import split_address
from ._protocols import Instance

#: Largest amount of a resource, which fits 64 bits.
MAX_AMOUNT = 2**63 - 1
#: Strings, and the characters that structure JSON.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)

_INSTANCE = pydantic.TypeAdapter(Instance)


def decode_instances(body: bytes, fault_log: FaultLog) -> list[Instance]:
    """Return the instances of a JSON array; entries that can't be read are left out.

    Parameters
    ----------
    body : bytes
        The array.
    fault_log : FaultLog
        Records entries that are left out.

    Raises
    ------
    ValueError
        If the body is no array.
    """
    instances = []
    for number, entry in enumerate(split_array(body)):
        with fault_log.contain("instance_entry_unreadable", entry=str(number)):
            instances.append(_decode_instance(entry))
    return instances


def split_array(body: bytes) -> list[bytes]:
    """Return the elements of a JSON array without decoding them.

    A parser would refuse the whole array if one element is nested too deeply.

    Raises
    ------
    ValueError
        If the body is no array.
    """
    body = body.strip()
    if not body.startswith(b"[") or not body.endswith(b"]"):
        raise ValueError("the list is no JSON array")
    elements = []
    depth = 0
    start = 1
    for token in TOKEN.finditer(body):
        character = token.group()
        if character in (b"[", b"{"):
            depth += 1
        elif character in (b"]", b"}"):
            depth -= 1
        elif character == b"," and depth == 1:
            elements.append(body[start : token.start()])
            start = token.end()
    if depth:
        raise ValueError("the list is no complete JSON array")
    last = body[start:-1]
    if elements or last.strip():
        elements.append(last)
    return elements


def _decode_instance(entry: bytes) -> Instance:
    instance = _INSTANCE.validate_json(entry, strict=True)
    host, port = split_address(instance.address)
    ipaddress.ip_address(host)
    if not port:
        raise ValueError(f"{instance.address!r} has port 0; use a port from 1")
    for amount in dataclasses.astuple(instance.capacity):
        if not 0 <= amount <= MAX_AMOUNT:
            raise ValueError(f"a capacity is from 0 to {MAX_AMOUNT}")
    return instance
