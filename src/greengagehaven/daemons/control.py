"""A control host: a member of the replicated log, without its sockets."""

import asyncio
import dataclasses
import datetime
import secrets
import time
import typing
from collections import abc

from greengagehaven import clock as clocks
from greengagehaven import exceptions, log
from greengagehaven import rng as rngs
from greengagehaven.coordination import peers
from greengagehaven.coordination.raft import core, events, replica, timing
from greengagehaven.daemons import (
    admission,
    control_metrics,
    control_reports,
    deciding,
    publisher,
    raft_driver,
)
from greengagehaven.protocol import codec, control
from greengagehaven.state import (
    audit,
    changes,
    configuration,
    document,
    folder,
    proofs,
    records,
    storage,
)

if typing.TYPE_CHECKING:
    import prometheus_client

METHODS = (
    raft_driver.RAFT_METHOD,
    admission.IDENTIFY_METHOD,
    admission.JOIN_METHOD,
    control_reports.REPORTS_METHOD,
    publisher.FOLLOW_METHOD,
)
STEWARD_PERIOD_S = 0.1
JOIN_PERIOD_S = 0.5
FIRST_INDEX = 1
ID_BYTES = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSettings:
    """What a control host is told when it starts.

    :param host_id: name of this host.
    :param data_folder: where its state lives.
    :param peer_address: ``IP:PORT`` at which other hosts reach it.
    :param peer_addresses: the other control hosts.
    :param bootstrap: begin a new log where no control host has one.
    :param voter: whether it counts for the quorum; others only follow.
    :param environment: name of the environment, in its proofs.
    :param signing_key: PEM with which it signs proofs, for a trial environment.
    :param trusted_keys: PEMs whose proofs it demands, for production.
    :param proof_lifetime: how old a proof may be.
    :param compact_bytes: growth of the log after which a snapshot is taken.
    :param recorder_addresses_by_id: peer addresses of the recorders of
        idempotency keys; this host is one where its name is among them.
    :param raft_timing: periods of the replicated log.
    :param least_voters: hosts that count for the quorum before the first change
        is taken. The log begins with one voter; a change that only its disk
        holds would be acknowledged and lost with that disk.
    :param check_document: reads a document of an operator; it raises
        ``DocumentError`` where the document must not come into force.
    :param service_names: gives the services that a document names.
    """

    host_id: str
    data_folder: str
    peer_address: str
    peer_addresses: tuple[str, ...] = ()
    bootstrap: bool = False
    voter: bool = True
    environment: str = "default"
    signing_key: bytes | None = None
    trusted_keys: tuple[bytes, ...] = ()
    proof_lifetime: datetime.timedelta = proofs.DEFAULT_LIFETIME
    compact_bytes: int = replica.DEFAULT_COMPACT_BYTES
    recorder_addresses_by_id: abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    raft_timing: timing.Timing = timing.Timing()
    least_voters: int = 1
    check_document: abc.Callable[[bytes], object] = document.parse
    service_names: abc.Callable[[bytes], abc.Container[str]] = document.service_names


class ControlHost:
    """Keeps the configuration together with the other control hosts.

    Implements ``configuration.ConfigurationLog``. The sockets are its owner's:
    ``handlers_by_method`` goes into a ``PeerServer``, operators' requests go
    through ``operator_api.OperatorApi``.

    :param settings: what this host is told.
    :param channel: calls to other hosts.
    :param clock: source of time.
    :param rng: source of election timeouts.
    :param registry: where metrics are registered, ``None`` for nowhere.
    :param data_folder: files; the folder of the settings by default.
    :param on_failure: called when the disk failed and the host halted.
    """

    def __init__(
        self,
        *,
        settings: ControlSettings,
        channel: peers.PeerChannel,
        clock: clocks.Clock,
        rng: rngs.Rng,
        registry: "prometheus_client.CollectorRegistry | None" = None,
        data_folder: folder.Folder | None = None,
        on_failure: abc.Callable[[exceptions.StorageError], None] | None = None,
    ) -> None:
        self.settings = settings
        self.channel = channel
        self.clock = clock
        self.machine = changes.ChangeMachine()
        self.on_revision: abc.Callable[[], None] | None = None
        self.driver: raft_driver.RaftDriver | None = None
        self.publisher = publisher.Publisher(
            published=self.machine.published, age=lambda: self.age, clock=clock
        )
        self._rng = rng
        self._on_failure = on_failure
        self._folder = data_folder
        self._storage: storage.Storage | None = None
        self._seen_revision = 0
        self._admission = admission.Admission(
            channel=channel,
            own=records.Member(
                id="",
                host=settings.host_id,
                address=settings.peer_address,
                voter=settings.voter,
            ),
            peer_addresses=settings.peer_addresses,
            clock=clock,
        )
        self.reports = control_reports.Reports(host=self)
        self._decider = deciding.Decider(host=self)
        self._tasks: list[asyncio.Task[None]] = []
        self.metrics = control_metrics.ControlMetrics(host=self)
        if registry is not None:
            registry.register(self.metrics)

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return what a ``PeerServer`` answers other hosts with."""
        return {
            raft_driver.RAFT_METHOD: self._handle_raft,
            admission.IDENTIFY_METHOD: self._handle_identify,
            admission.JOIN_METHOD: self._handle_join,
            control_reports.REPORTS_METHOD: self.reports.handle,
            publisher.FOLLOW_METHOD: self.publisher.handle,
        }

    @property
    def raft(self) -> core.Raft | None:
        """Return the member of the log, ``None`` until it has found its log."""
        return None if self.driver is None else self.driver.replica.raft

    @property
    def current(self) -> configuration.ConfigurationState:
        """Return the newest state that is known here to be accepted."""
        return self.machine.state

    @property
    def age(self) -> float:
        """Return for how many seconds the state here may have been outdated."""
        return float("inf") if self.raft is None else self.raft.age

    @property
    def is_leader(self) -> bool:
        """Tell whether this host leads."""
        return self.driver is not None and self.driver.replica.is_leader

    @property
    def failure(self) -> exceptions.StorageError | None:
        """Return why the disk failed, ``None`` where it works."""
        return None if self.driver is None else self.driver.replica.failure

    @property
    def log_bytes(self) -> int:
        """Return the size of the write-ahead log."""
        return 0 if self._storage is None else self._storage.log_bytes

    @property
    def leader_address(self) -> str | None:
        """Return the peer address of the leader, ``None`` where unknown."""
        raft = self.raft
        if raft is None or raft.leader_id is None or self.driver is None:
            return None
        return self.driver.address_of(raft.leader_id)

    async def start(self) -> None:
        """Read the disk and take part; returns before the host is a member.

        :raises LogDamagedError: the state on the disk is damaged.
        :raises SettingError: the data folder is in use.
        """
        if self._folder is None:
            disk = folder.DiskFolder(path=self.settings.data_folder)
            disk.lock()
            self._folder = disk
        self._storage = storage.Storage(folder=self._folder)
        identity = self._storage.identity()
        if identity is not None:
            self._open(identity)
        elif self.settings.bootstrap and not self.settings.peer_addresses:
            self._open(self._initialise(""))
        self._tasks = [
            asyncio.ensure_future(self._become_member()),
            asyncio.ensure_future(self._tend_membership()),
        ]

    async def close(self) -> None:
        """Stop taking part; the disk is left as it is."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.publisher.close()
        if self.driver is not None:
            await self.driver.close()
        if isinstance(self._folder, folder.DiskFolder):
            self._folder.close()

    async def propose(self, change: configuration.Change) -> configuration.ChangeResult:
        """Have a change decided; it is durable before this returns.

        :raises NotLeaderError: another host leads.
        :raises QuorumLostError: it could not be decided; resend it with the
            same change id.
        """
        return (await self.decide(change)).result

    async def decide(self, change: configuration.Change) -> audit.AuditRecord:
        """Have a change decided and return its audit record.

        :raises ChangeRefusedError: its id belongs to a different change.
        """
        return await self._decider.decide(change)

    async def read(self) -> configuration.ConfigurationState:
        """Return the state that nobody else can have replaced.

        :raises NotLeaderError: another host leads.
        :raises QuorumLostError: no quorum answered.
        """
        await self.need_driver().read()
        return self.machine.state

    def need_driver(self) -> raft_driver.RaftDriver:
        """Return the member of the log.

        :raises QuorumLostError: this host has not found its log yet.
        """
        if self.driver is None:
            raise exceptions.QuorumLostError("this host has not found its log yet")
        return self.driver

    def check_voters(self) -> None:
        """Refuse changes while too few hosts hold the log.

        :raises QuorumLostError: other hosts have still to join.
        """
        raft = self.raft
        voters = 0 if raft is None else len(raft.log.membership.voter_ids)
        if voters < self.settings.least_voters:
            raise exceptions.QuorumLostError(
                f"{voters} of {self.settings.least_voters} control hosts have joined"
            )

    def _open(self, identity: records.Identity) -> None:
        assert self._storage is not None
        started = time.perf_counter()
        stored = self._storage.load()
        self._admission.rename(identity.member_id)
        member = replica.Replica(
            raft=core.Raft(
                identity=identity,
                stored=stored,
                clock=self.clock,
                rng=self._rng,
                timing=self.settings.raft_timing,
            ),
            storage=self._storage,
            machine=self.machine,
            compact_bytes=self.settings.compact_bytes,
        )
        self.driver = raft_driver.RaftDriver(
            replica=member,
            channel=self.channel,
            clock=self.clock,
            on_outcome=self._after_step,
            on_failure=self._halt,
        )
        self._after_step()
        self.driver.start()
        log.info(
            "control_opened",
            member=identity.member_id,
            group=identity.group_id,
            entries=len(stored.entries),
            revision=self.machine.state.revision,
            seconds=round(time.perf_counter() - started, 3),
        )

    def _initialise(self, group_id: str) -> records.Identity:
        """Write a fresh identity; with no group to join, begin a new log."""
        assert self._storage is not None
        member_id = f"{self.settings.host_id}-{secrets.token_hex(ID_BYTES)}"
        snapshot = None
        if not group_id:
            group_id = secrets.token_hex(ID_BYTES)
            self._admission.rename(member_id)
            snapshot = records.Snapshot(
                last=records.Position(FIRST_INDEX, 0),
                membership=records.Membership(members=(self._admission.own,)),
                data=self.machine.capture(),
            )
        identity = records.Identity(
            host=self.settings.host_id, member_id=member_id, group_id=group_id
        )
        self._storage.initialise(identity, snapshot)
        return identity

    async def _become_member(self) -> None:
        while self.driver is None:
            group_id = await self._admission.find_group(
                bootstrap=self.settings.bootstrap
            )
            if group_id is None:
                await asyncio.sleep(JOIN_PERIOD_S)
                continue
            try:
                self._open(self._initialise(group_id))
            except exceptions.StorageError as error:
                self._halt(error)
                return
        while True:
            raft = self.driver.replica.raft
            # A host that was away may have been removed and not have heard of it.
            is_lost = raft.leader_id is None
            if is_lost or not self._admission.is_admitted(raft.log.membership):
                if self.is_leader:
                    self._admission.add_candidate(_join_request(self._admission.own))
                else:
                    await self._admission.ask_to_join()
            await asyncio.sleep(JOIN_PERIOD_S)

    async def _tend_membership(self) -> None:
        while True:
            await asyncio.sleep(STEWARD_PERIOD_S)
            if self.driver is None or not self.is_leader:
                continue
            membership = self._admission.next_membership(self.driver.replica.raft)
            if membership is not None:
                self.driver.step(events.MembershipProposed(membership=membership))

    def _after_step(self) -> None:
        if self.machine.state.revision != self._seen_revision:
            self._seen_revision = self.machine.state.revision
            self.publisher.notify()
            if self.on_revision is not None:
                self.on_revision()

    def _halt(self, error: exceptions.StorageError) -> None:
        log.error(
            "storage_failed",
            path=error.path,
            error=error.detail,
            host=self.settings.host_id,
        )
        if self._on_failure is not None:
            self._on_failure(error)

    async def _handle_raft(self, body: bytes) -> bytes:
        return await self.need_driver().handle(body)

    async def _handle_identify(self, _body: bytes) -> bytes:
        group_id = "" if self.raft is None else self.raft.group_id
        return codec.encode_msgpack(
            control.IdentifyReply(group_id=group_id, host=self.settings.host_id)
        )

    async def _handle_join(self, body: bytes) -> bytes:
        request = codec.decode_msgpack(body, control.JoinRequest)
        if self.is_leader:
            self._admission.add_candidate(request)
        address = self.leader_address or ""
        return codec.encode_msgpack(control.JoinReply(leader_address=address))


def _join_request(member: records.Member) -> control.JoinRequest:
    return control.JoinRequest(
        member_id=member.id,
        host=member.host,
        address=member.address,
        voter=member.voter,
    )
