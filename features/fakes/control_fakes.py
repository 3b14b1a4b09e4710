"""Fakes for control hosts: an in-memory disk, a network and a virtual event loop."""

import asyncio
import selectors

from greengagehaven import clock as clocks
from greengagehaven import exceptions


class MemoryFolder:
    """An in-memory ``Folder`` that loses unsynced data on ``crash``.

    :param rng: selects how much of an unsynced write survives a crash.
    """

    def __init__(self, *, rng):
        self._rng = rng
        self._files_by_name = {}
        self._synced_by_name = {}
        self.is_full = False
        self.fails_sync = False
        self.skips_sync = False

    def path_of(self, name):
        return f"memory/{name}"

    def names(self):
        return sorted(self._files_by_name)

    def read(self, name):
        return self._files_by_name.get(name)

    def append(self, name, data):
        if self.is_full:
            # A full disk writes a part of the record before it reports the error.
            part = data[: self._rng.randrange(len(data))]
            self._files_by_name[name] += part
            raise self._failure("No space left on device", name)
        self._files_by_name[name] += data
        if self.fails_sync:
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
        """Drop unsynced data, except for a random part of the last append."""
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

    def flip_bit(self, name, offset):
        """Flip a bit in a file."""
        data = bytearray(self._files_by_name[name])
        data[offset] ^= 1
        self._files_by_name[name] = bytes(data)

    def _sync(self, name):
        if not self.skips_sync:
            self._synced_by_name[name] = self._files_by_name[name]

    def _failure(self, detail, name):
        return exceptions.StorageError(detail, path=self.path_of(name))


class Network:
    """An in-process network of ``PeerChannel`` calls, with partitions."""

    def __init__(self):
        self.handlers_by_address = {}
        self._isolated = set()
        self._partitioned_pairs = set()

    def is_cut(self, source, target):
        """Return whether calls between two hosts are lost."""
        is_pair_partitioned = frozenset((source, target)) in self._partitioned_pairs
        return (
            is_pair_partitioned or source in self._isolated or target in self._isolated
        )

    def cut_off(self, address):
        """Let every call from and to a host time out, as in a silent partition."""
        self._isolated.add(address)

    def cut_between(self, address, others):
        """Let every call between a host and the given others time out."""
        self._partitioned_pairs |= {frozenset((address, other)) for other in others}

    def heal(self):
        """Remove all partitions."""
        self._isolated.clear()
        self._partitioned_pairs.clear()

    def channel_of(self, address):
        """Return the channel that a host sends its calls through."""
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
    """An event loop whose time jumps to the next timer, so that tests never wait."""

    def __init__(self):
        self.clock = clocks.ManualClock(start=1000.0)
        super().__init__(_VirtualTimeSelector(self.clock))

    def time(self):
        return self.clock.monotonic()


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("the loop has no timer left to wait for")
        # Advance in every iteration: a delay too small to change the float time
        # would otherwise leave the next timer in the future for ever.
        self._clock.advance(max(timeout, 1e-6))
        return super().select(0)
