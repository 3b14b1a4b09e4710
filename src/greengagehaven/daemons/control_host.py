"""A control host: a member of the replicated log, without its sockets.

The sockets belong to the daemon that runs the host, so that the same host works with
different transports.
"""

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
    change_proposer,
    control_metrics,
    control_reports,
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
from greengagehaven.transport import background_tasks

if typing.TYPE_CHECKING:
    import prometheus_client

PEER_METHODS = (
    raft_driver.RAFT_METHOD,
    admission.IDENTIFY_METHOD,
    admission.JOIN_METHOD,
    control_reports.REPORTS_METHOD,
    publisher.FOLLOW_METHOD,
)
MEMBERSHIP_CHECK_PERIOD_S = 0.1
JOIN_RETRY_PERIOD_S = 0.5
INITIAL_LOG_INDEX = 1
RANDOM_ID_BYTES = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlSettings:
    """Settings of a control host.

    :param host_id: id of this host.
    :param data_folder: path of the folder that holds its state.
    :param peer_address: ``IP:PORT`` at which other hosts call this one.
    :param peer_addresses: ``IP:PORT`` of each other control host.
    :param bootstrap: create a new log if no control host has one.
    :param voter: whether it counts towards the quorum; a non-voter only replicates.
    :param environment: name of the environment, written into its proofs.
    :param signing_key: private key (PEM) that signs proofs; for a trial environment.
    :param trusted_keys: public keys (PEM); a document needs a proof signed with one
        of them. For production.
    :param proof_lifetime: maximum age of a proof.
    :param compact_bytes: growth of the log in bytes after which a snapshot is taken.
    :param recorder_addresses_by_id: peer addresses of the recorders of
        idempotency keys; this host is a recorder if its id is among them.
    :param raft_timing: timeouts and periods of the replicated log.
    :param min_voters: minimum number of voters before changes are accepted. The
        log starts with one voter; a change that is only on that voter's disk
        would be acknowledged and then lost with the disk.
    :param check_document: validates an operator's document; raises
        ``DocumentError`` if it must not be applied.
    :param service_names: returns the names of the services in a document.
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
    min_voters: int = 1
    check_document: abc.Callable[[bytes], object] = document.parse
    service_names: abc.Callable[[bytes], abc.Container[str]] = document.service_names


class ControlHost:
    """Replicates the configuration with the other control hosts.

    Implements ``configuration.ConfigurationLog``. It opens no sockets: its owner
    passes ``handlers_by_method`` to a ``GrpcPeerServer``, and operators' requests come
    through ``operator_api.OperatorApi``.

    :param settings: settings of this host.
    :param channel: client for calls to other hosts.
    :param clock: source of time.
    :param rng: source of randomness for election timeouts.
    :param registry: registry for the metrics, ``None`` to register none.
    :param data_folder: folder that holds the state; by default, the one of the
        settings.
    :param on_failure: called after a disk failure has halted the host.
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
        self.state_machine = changes.ConfigurationStateMachine()
        self.on_new_revision: abc.Callable[[], None] | None = None
        self.driver: raft_driver.RaftDriver | None = None
        self.publisher = publisher.ConfigurationPublisher(
            history=self.state_machine.history,
            staleness=lambda: self.staleness,
            confirmed_staleness=lambda: self.confirmed_staleness,
            clock=clock,
        )
        self._rng = rng
        self._on_failure = on_failure
        self._folder = data_folder
        self._storage: storage.Storage | None = None
        self._notified_revision = 0
        self._admission = admission.Admission(
            channel=channel,
            own_member=records.Member(
                id="",
                host=settings.host_id,
                address=settings.peer_address,
                voter=settings.voter,
            ),
            peer_addresses=settings.peer_addresses,
            clock=clock,
        )
        self.report_collector = control_reports.ReportCollector(host=self)
        self._change_proposer = change_proposer.ChangeProposer(host=self)
        self._tasks: list[asyncio.Task[None]] = []
        self.metrics = control_metrics.ControlMetrics(host=self)
        if registry is not None:
            registry.register(self.metrics)

    @property
    def handlers_by_method(self) -> dict[str, peers.Handler]:
        """Return the handler of each peer method, for a ``GrpcPeerServer``."""
        return {
            raft_driver.RAFT_METHOD: self._handle_raft,
            admission.IDENTIFY_METHOD: self._handle_identify,
            admission.JOIN_METHOD: self._handle_join,
            control_reports.REPORTS_METHOD: self.report_collector.handle,
            publisher.FOLLOW_METHOD: self.publisher.handle,
        }

    @property
    def raft(self) -> core.Raft | None:
        """Return the Raft member, ``None`` until this host has opened its log."""
        return None if self.driver is None else self.driver.replica.raft

    @property
    def current(self) -> configuration.ConfigurationState:
        """Return the newest committed state that this host has applied."""
        return self.state_machine.state

    @property
    def staleness(self) -> float:
        """Return for how many seconds the state here may have been stale."""
        return float("inf") if self.raft is None else self.raft.staleness

    @property
    def confirmed_staleness(self) -> float:
        """Return an upper bound of the seconds for which the state may be stale.

        A disk failure halts the host between counting entries as committed and
        applying them, so its state is not confirmed any more.
        """
        if self.raft is None or self.storage_error is not None:
            return float("inf")
        return self.raft.confirmed_staleness

    @property
    def is_leader(self) -> bool:
        """Return whether this host is the leader."""
        return self.driver is not None and self.driver.replica.is_leader

    @property
    def storage_error(self) -> exceptions.StorageError | None:
        """Return the disk error that halted this host, ``None`` if there was none."""
        return None if self.driver is None else self.driver.replica.storage_error

    @property
    def log_bytes(self) -> int:
        """Return the size of the write-ahead log in bytes."""
        return 0 if self._storage is None else self._storage.log_bytes

    @property
    def leader_address(self) -> str | None:
        """Return the peer address of the leader, ``None`` if it is unknown."""
        raft = self.raft
        if raft is None or raft.leader_id is None or self.driver is None:
            return None
        return self.driver.address_of(raft.leader_id)

    def set_peer_addresses(self, addresses: tuple[str, ...]) -> None:
        """Join through these control hosts from now on."""
        self._admission.set_peer_addresses(addresses)

    async def start(self) -> None:
        """Load the state from disk and start joining; return before it is a member.

        :raises LogDamagedError: the state on disk is corrupt.
        :raises SettingError: another process uses the data folder.
        """
        if self._folder is None:
            disk = folder.DiskFolder(path=self.settings.data_folder)
            disk.lock()
            self._folder = disk
        self._storage = storage.Storage(folder=self._folder)
        identity = self._storage.identity()
        if identity is not None:
            self._open_log(identity)
        elif self.settings.bootstrap and not self.settings.peer_addresses:
            self._open_log(self._create_identity(""))
        self._tasks = [
            background_tasks.start(self._become_member, task="become_member"),
            background_tasks.start(self._manage_membership, task="manage_membership"),
        ]

    async def close(self) -> None:
        """Stop the member and release the data folder; the state stays on disk."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.publisher.close()
        if self.driver is not None:
            await self.driver.close()
        if isinstance(self._folder, folder.DiskFolder):
            self._folder.close()

    async def propose(self, change: configuration.Change) -> configuration.ChangeResult:
        """Replicate a change; it is durable on a quorum when this returns.

        :raises NotLeaderError: this host is not the leader.
        :raises QuorumLostError: the outcome is unknown; resend the change with
            the same change id.
        """
        return (await self.propose_audited(change)).result

    async def propose_audited(self, change: configuration.Change) -> audit.AuditRecord:
        """Replicate a change and return its audit record.

        :raises ChangeRefusedError: its id was used for a different change.
        """
        return await self._change_proposer.propose(change)

    async def read(self) -> configuration.ConfigurationState:
        """Return the current state by a linearizable read.

        :raises NotLeaderError: this host is not the leader.
        :raises QuorumLostError: no quorum answered.
        """
        await self.require_driver().read()
        return self.state_machine.state

    def require_driver(self) -> raft_driver.RaftDriver:
        """Return the driver of the Raft member.

        :raises QuorumLostError: this host has not opened its log yet.
        """
        if self.driver is None:
            raise exceptions.QuorumLostError("this host has not found its log yet")
        return self.driver

    def require_voters(self) -> None:
        """Check that the log has enough voters to accept changes.

        :raises QuorumLostError: too few control hosts have joined.
        """
        raft = self.raft
        voters = 0 if raft is None else len(raft.log.membership.voter_ids)
        if voters < self.settings.min_voters:
            raise exceptions.QuorumLostError(
                f"{voters} of {self.settings.min_voters} control hosts have joined"
            )

    def _open_log(self, identity: records.Identity) -> None:
        assert self._storage is not None
        started = time.perf_counter()
        stored = self._storage.load()
        self._admission.set_member_id(identity.member_id)
        raft_replica = replica.Replica(
            raft=core.Raft(
                identity=identity,
                stored=stored,
                clock=self.clock,
                rng=self._rng,
                timing=self.settings.raft_timing,
            ),
            storage=self._storage,
            machine=self.state_machine,
            compact_bytes=self.settings.compact_bytes,
        )
        self.driver = raft_driver.RaftDriver(
            replica=raft_replica,
            channel=self.channel,
            clock=self.clock,
            on_step=self._notify_new_revision,
            on_failure=self._report_storage_failure,
        )
        self._notify_new_revision()
        self.driver.start()
        log.info(
            "control_opened",
            member=identity.member_id,
            group=identity.group_id,
            entries=len(stored.entries),
            revision=self.state_machine.state.revision,
            seconds=round(time.perf_counter() - started, 3),
        )

    def _create_identity(self, group_id: str) -> records.Identity:
        """Store a new identity; create a new log if ``group_id`` is empty."""
        assert self._storage is not None
        member_id = f"{self.settings.host_id}-{secrets.token_hex(RANDOM_ID_BYTES)}"
        snapshot = None
        if not group_id:
            group_id = secrets.token_hex(RANDOM_ID_BYTES)
            self._admission.set_member_id(member_id)
            snapshot = records.Snapshot(
                last=records.Position(INITIAL_LOG_INDEX, 0),
                membership=records.Membership(members=(self._admission.own_member,)),
                data=self.state_machine.capture(),
            )
        identity = records.Identity(
            host=self.settings.host_id, member_id=member_id, group_id=group_id
        )
        self._storage.initialise(identity, snapshot)
        return identity

    async def _become_member(self) -> None:
        while self.driver is None:
            group_id = await self._admission.find_group_id(
                bootstrap=self.settings.bootstrap
            )
            if group_id is None:
                await asyncio.sleep(JOIN_RETRY_PERIOD_S)
                continue
            try:
                self._open_log(self._create_identity(group_id))
            except exceptions.StorageError as error:
                self._report_storage_failure(error)
                return
        while True:
            raft = self.driver.replica.raft
            # A host that was down may have been removed without learning of it. The
            # leader proposes itself if its own record changed, such as its address.
            has_no_leader = raft.leader_id is None
            if has_no_leader or not self._admission.is_admitted(raft.log.membership):
                if self.is_leader:
                    self._admission.add_candidate(
                        _join_request(self._admission.own_member)
                    )
                else:
                    await self._admission.request_membership(raft.log.membership)
            await asyncio.sleep(JOIN_RETRY_PERIOD_S)

    async def _manage_membership(self) -> None:
        while True:
            await asyncio.sleep(MEMBERSHIP_CHECK_PERIOD_S)
            if self.driver is None or not self.is_leader:
                continue
            membership = self._admission.next_membership(self.driver.replica.raft)
            if membership is not None:
                self.driver.step(events.MembershipProposed(membership=membership))

    def _notify_new_revision(self) -> None:
        if self.state_machine.state.revision != self._notified_revision:
            self._notified_revision = self.state_machine.state.revision
            self.publisher.notify()
            if self.on_new_revision is not None:
                self.on_new_revision()

    def _report_storage_failure(self, error: exceptions.StorageError) -> None:
        log.error(
            "storage_failed",
            path=error.path,
            error=error.detail,
            host=self.settings.host_id,
        )
        if self._on_failure is not None:
            self._on_failure(error)

    async def _handle_raft(self, body: bytes) -> bytes:
        return await self.require_driver().handle(body)

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
