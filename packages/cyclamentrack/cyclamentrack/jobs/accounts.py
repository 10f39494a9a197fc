"""Client accounts: who may submit jobs, and how much they may run.

The configuration names the accounts and their API keys. A job belongs to the
account whose key its submission carried, under any later key of that account.
"""

import enum
from collections.abc import Iterable
from typing import NewType

import msgspec

from cyclamentrack.resources import NO_RESOURCES, Resources

AccountName = NewType('AccountName', str)
"""Name of a client account, as the configuration gives it."""

NO_ACCOUNT = AccountName('')
"""The account of jobs that no account has submitted."""


class Access(enum.Enum):
    """Why a request without an account may or may not be served."""

    PUBLIC = 'public'
    UNKNOWN_KEY = 'unknown key'


class ClientAccount(msgspec.Struct, frozen=True, kw_only=True):
    """One client account, as one version of the configuration defines it.

    ``weight`` is its share of a full pool relative to other accounts, and the
    number of jobs a second that it is served before those of accounts within
    their rate. ``cap`` limits what its tasks may use in all pools together; a
    dimension of 0 has no limit.
    """

    name: AccountName
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Resources = NO_RESOURCES


class AccountIndex:
    """The accounts of one version of the configuration, by key and by name."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        """Index accounts; of two with the same key the first one counts."""
        self._by_key: dict[str, ClientAccount] = {}
        self._by_name: dict[AccountName, ClientAccount] = {}
        for account in accounts:
            self._by_name.setdefault(account.name, account)
            for key in account.keys:
                self._by_key.setdefault(key, account)

    def with_key(self, key: str) -> ClientAccount | None:
        """Return the account that has a key, ``None`` if there is none."""
        return self._by_key.get(key)

    def named(self, name: AccountName) -> ClientAccount | None:
        """Return the account of this name, ``None`` if there is none."""
        return self._by_name.get(name)
