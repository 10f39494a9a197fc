"""CBOR encoding of the typed messages and records of the scheduler."""

from typing import Any, TypeVar

import cbor2
import msgspec

_Typed = TypeVar('_Typed')


def encode(message: object) -> bytes:
    """Encode one typed message as CBOR."""
    return cbor2.dumps(
        msgspec.to_builtins(message, builtin_types=(bytes,)),
    )


def decode(body: bytes, into: type[_Typed] | Any) -> _Typed:
    """Decode CBOR into a type or a tagged union of types.

    Raises ``msgspec.ValidationError`` when the body isn't of that type.
    """
    try:
        found = cbor2.loads(body)
    except cbor2.CBORDecodeError as error:
        raise msgspec.ValidationError(f'not CBOR: {error}') from error
    return msgspec.convert(found, into, builtin_types=(bytes,))
