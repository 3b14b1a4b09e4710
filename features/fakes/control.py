"""Fakes at the interfaces of control hosts: a disk, a network, a loop."""

import asyncio
import selectors

from greengagehaven import clock as clocks
from greengagehaven import exceptions


class MemoryFolder:
    """A ``Folder`` that loses on ``crash`` what was not synced.

    :param rng: decides how much of an unsynced write survives.
    """

    def __init__(self, *, rng):
        self._rng = rng
        self._files_by_name = {}
        self._synced_by_name = {}
        self.is_full = False
        self.loses_sync = False
        self.skips_sync = False

    def path_of(self, name):
        return f"memory/{name}"

    def names(self):
        return sorted(self._files_by_name)

    def read(self, name):
        return self._files_by_name.get(name)

    def append(self, name, data):
        if self.is_full:
            # A full disk takes a part of the record before it says so.
            part = data[: self._rng.randrange(len(data))]
            self._files_by_name[name] += part
            raise self._failure("No space left on device", name)
        self._files_by_name[name] += data
        if self.loses_sync:
            raise self._failure("Input/output error", name)
        self._sync(name)

    def truncate(self, name, size):
        self._files_by_name[name] = self._files_by_name[name][:size]
        self._sync(name)

    def replace(self, name, data):
        if self.is_full:
            raise self._failure("No space left on device", name)
        self._files_by_name[name] = data
        self._synced_by_name[name] = data

    def remove(self, name):
        self._files_by_name.pop(name, None)
        self._synced_by_name.pop(name, None)

    def crash(self):
        """Lose what was not synced, but for a part of the last append."""
        for name in list(self._files_by_name):
            synced = self._synced_by_name.get(name)
            if synced is None:
                del self._files_by_name[name]
                continue
            written = self._files_by_name[name]
            kept = len(synced)
            if len(written) > kept:
                kept += self._rng.randrange(len(written) - kept + 1)
            self._files_by_name[name] = written[:kept]
            self._synced_by_name[name] = written[:kept]

    def damage(self, name, offset):
        """Flip a bit of a file."""
        data = bytearray(self._files_by_name[name])
        data[offset] ^= 1
        self._files_by_name[name] = bytes(data)

    def _sync(self, name):
        if not self.skips_sync:
            self._synced_by_name[name] = self._files_by_name[name]

    def _failure(self, detail, name):
        return exceptions.StorageError(detail, path=self.path_of(name))


class Network:
    """``PeerChannel`` calls between hosts of one process, some of them cut."""

    def __init__(self):
        self.handlers_by_address = {}
        self._cut = set()
        self._cut_pairs = set()

    def is_cut(self, source, target):
        """Tell whether a call from one host to another gets lost."""
        is_pair_cut = frozenset((source, target)) in self._cut_pairs
        return is_pair_cut or source in self._cut or target in self._cut

    def cut_off(self, address):
        """Let every call from and to a host hang, as a silent partition does."""
        self._cut.add(address)

    def cut_between(self, address, others):
        """Let every call between a host and some others hang."""
        self._cut_pairs |= {frozenset((address, other)) for other in others}

    def heal(self):
        """Let every call through again."""
        self._cut.clear()
        self._cut_pairs.clear()

    def channel_of(self, address):
        """Return the channel of one host."""
        return _Channel(network=self, address=address)


class _Channel:
    def __init__(self, *, network, address):
        self._network = network
        self._address = address

    async def call(self, address, method, body, *, timeout):
        handlers = self._network.handlers_by_address.get(address)
        if self._network.is_cut(self._address, address):
            await asyncio.sleep(timeout)
            raise exceptions.PeerError(f"{address} {method}: no answer in {timeout} s")
        await asyncio.sleep(0.001)
        if handlers is None or method not in handlers:
            raise exceptions.PeerError(f"{address} {method}: refused")
        try:
            async with asyncio.timeout(timeout):
                answer = await handlers[method](body)
        except TimeoutError as error:
            raise exceptions.PeerError(f"{address} {method}: timeout") from error
        except exceptions.GreengagehavenError as error:
            raise exceptions.PeerError(f"{address} {method}: {error.code}") from error
        if self._network.is_cut(address, self._address):
            await asyncio.sleep(timeout)
            raise exceptions.PeerError(f"{address} {method}: the answer was lost")
        return answer


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose time jumps to the next timer, so that tests never wait."""

    def __init__(self):
        self.clock = clocks.ManualClock(start=1000.0)
        super().__init__(_JumpingSelector(self.clock))

    def time(self):
        return self.clock.monotonic()


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("nothing is left to wait for")
        # Time passes in every turn, as it does outside; else a timer that is due
        # in less than a float can add would never come.
        self._clock.advance(max(timeout, 1e-6))
        return super().select(0)
