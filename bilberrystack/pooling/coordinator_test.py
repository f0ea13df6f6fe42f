"""Tests which registrations the coordinator finds expired, and what its lease rests on."""

import asyncio
import dataclasses

import loguru
import pytest

from bilberrystack.core import positions
from bilberrystack.platform import wire
from bilberrystack.pooling import coordinator
from bilberrystack.pooling import counters
from bilberrystack.pooling import group
from bilberrystack.pooling import interfaces
from bilberrystack.pooling import messages
from bilberrystack.pooling import tasks
from bilberrystack.routing import lease_terms
from bilberrystack.routing import model
from bilberrystack.routing import permission
from bilberrystack.routing import running_time
from bilberrystack.routing import statements

SERVICE = model.Service("store", max_connections=16, sync_replicas=0)
ENDPOINT = model.Endpoint("127.0.0.1", 1)
INSTANCES = [model.Instance(f"proxy-{number}", f"{number}", ENDPOINT, "a") for number in range(6)]


class FakeLease:
    """A lease that this instance holds from the start."""

    token = 7
    settled_at_s = 0.0
    leaving_replaceable_at_s = 0.0
    ends_at_s = 1e9
    grants_end_at_s = 0.0
    renewal = None

    def __init__(self):
        self.supporters = lease_terms.Supporters()
        self.resignations = []

    async def resign(self, reason):
        self.resignations.append(reason)


MEMBERS = [model.Member(name, "store", ENDPOINT, "zone", 3, False, None, 1) for name in "abc"]


class FakePlatform:
    """A store that takes each record of a primary."""

    store_era = 1

    async def record_primary(self, record):
        pass


class ClockedCoordinator:
    """A coordinator without groups, on a clock that the tests advance."""

    def __init__(self, with_group=False):
        self.now_s = 100.0
        self.lease = FakeLease()
        self.metrics = counters.Counters()
        self.running = running_time.RunningTime()
        self.groups = {}
        if with_group:
            self.groups["store"] = group.Group(
                service=SERVICE,
                failure_domain="a",
                instance_name="proxy-0",
                dialect=wire,
                clock=lambda: self.now_s,
                background_tasks=tasks.Tasks(),
            )
        self.coordinator = coordinator.Coordinator(
            own_instance=INSTANCES[0],
            lease=self.lease,
            platform=FakePlatform(),
            groups=self.groups,
            dialect=wire,
            clock=lambda: self.now_s,
            background_tasks=tasks.Tasks(),
            metrics=self.metrics,
            running=self.running,
        )
        self.coordinator.step()

    def advance(self, seconds, heard):
        """Advance the clock while the instances with the given numbers send heartbeats."""
        for _ in range(int(seconds / 0.4)):
            self.now_s += 0.4
            for number in heard:
                heartbeat = messages.Heartbeat(
                    f"proxy-{number}", f"{number}", self.now_s, [], 0, ["store"]
                )
                self.coordinator.receive(heartbeat, ENDPOINT)

    def stall(self, seconds):
        """Advance the clock while the coordinator's event loop stands still."""
        self.running.count_until(self.now_s)
        self.running.record_stall(self.now_s, self.now_s + seconds)
        self.now_s += seconds

    def withdraw(self):
        """Withdraw the grants of the group, as at the begin of a primary change."""
        state = self.coordinator._group_states["store"]
        self.coordinator._withdraw_grants("store", self.groups["store"], state, 7, self.now_s)

    def change_number(self):
        """Return the number of the group's last primary change."""
        return self.coordinator._group_states["store"].change_number

    def expired(self):
        return self.coordinator.expired_instances(INSTANCES)


def test_an_instance_that_has_ended_for_good_is_found():
    """The registration of a replaced machine halved the connections that owners could share."""
    clocked = ClockedCoordinator()
    clocked.advance(21.0, heard=(1, 2, 3, 4))
    assert clocked.expired() == ["proxy-5"]


def test_an_instance_that_is_unresponsive_for_a_short_time_is_not_expired():
    """Guards against the removal of a machine that is cut off or suspended for seconds."""
    clocked = ClockedCoordinator()
    clocked.advance(21.0, heard=(1, 2, 3, 4, 5))
    clocked.advance(15.0, heard=(1, 2, 3, 4))
    assert clocked.expired() == []


def test_a_new_coordinator_waits_before_it_finds_an_instance_expired():
    """Guards against a coordinator that removes instances which it has had no time to hear."""
    clocked = ClockedCoordinator()
    clocked.advance(15.0, heard=(1, 2, 3, 4))
    assert clocked.expired() == []


def test_no_instance_is_expired_during_a_network_partition():
    """Guards against the removal of instances beyond a partition, which still use connections."""
    clocked = ClockedCoordinator()
    clocked.advance(21.0, heard=(1, 2, 3))
    assert clocked.expired() == ["proxy-4", "proxy-5"]
    clocked.advance(21.0, heard=(1, 2))
    assert clocked.expired() == []


def test_a_restarted_process_keeps_its_registration():
    """Guards against the removal of an instance that sends under a new incarnation."""
    clocked = ClockedCoordinator()
    clocked.advance(21.0, heard=(1, 2, 3, 4, 5))
    heartbeat = messages.Heartbeat("proxy-5", "another", clocked.now_s, [], 0, ["store"])
    clocked.coordinator.receive(heartbeat, ENDPOINT)
    clocked.advance(19.0, heard=(1, 2, 3, 4))
    assert clocked.expired() == []


def test_a_coordinator_that_stood_still_finds_no_instance_expired():
    """An instance that it had not heard for some seconds before counted as ended after a stall."""
    clocked = ClockedCoordinator()
    clocked.advance(21.0, heard=(1, 2, 3, 4, 5))
    clocked.advance(8.0, heard=(1, 2, 3, 4))
    clocked.stall(13.0)
    clocked.advance(1.0, heard=(1, 2, 3, 4))
    clocked.running.count_until(clocked.now_s)
    assert clocked.expired() == []
    clocked.advance(12.0, heard=(1, 2, 3, 4))
    clocked.running.count_until(clocked.now_s)
    assert clocked.expired() == ["proxy-5"]


def _heartbeat(clocked, number, incarnation, **fields):
    return messages.Heartbeat(
        f"proxy-{number}", incarnation, clocked.now_s, [], 0, ["store"], **fields
    )


def test_only_acknowledgements_of_the_present_token_support_the_coordinator():
    """An acknowledgement of an earlier lease does not keep a standby from acquiring this one."""
    clocked = ClockedCoordinator()
    standbys = ["1"]
    old = _heartbeat(clocked, 1, "1", acknowledged_token=6, acknowledged_at_s=99.0)
    clocked.coordinator.receive(old, ENDPOINT)
    assert clocked.lease.supporters.supported_until_s(standbys) < 0.0
    current = _heartbeat(clocked, 1, "1", acknowledged_token=7, acknowledged_at_s=99.0)
    clocked.coordinator.receive(current, ENDPOINT)
    until_s = 99.0 + lease_terms.CONTACT_DURATION_S
    assert clocked.lease.supporters.supported_until_s(standbys) == until_s


@pytest.mark.parametrize("noticed", [False, True])
def test_an_acknowledgement_does_not_support_a_lease_that_has_ended(noticed):
    """Guards against a lease that goes on without the pause that follows an interruption.

    The coordinator keeps no grants beyond an interruption, and would replace a primary at once.
    """
    clocked = ClockedCoordinator()
    clocked.lease.token = None
    if noticed:
        clocked.coordinator.step()
    heartbeat = _heartbeat(clocked, 1, "1", acknowledged_token=7, acknowledged_at_s=clocked.now_s)
    clocked.coordinator.receive(heartbeat, ENDPOINT)
    assert clocked.lease.supporters.supported_until_s(["1"]) < 0.0


def test_an_acknowledgement_from_the_future_counts_from_its_arrival():
    """A malformed heartbeat kept a cut-off coordinator's lease for good."""
    clocked = ClockedCoordinator()
    heartbeat = _heartbeat(clocked, 1, "1", acknowledged_token=7, acknowledged_at_s=1e9)
    clocked.coordinator.receive(heartbeat, ENDPOINT)
    until_s = clocked.now_s + lease_terms.CONTACT_DURATION_S
    assert clocked.lease.supporters.supported_until_s(["1"]) == until_s


def _restart(clocked, endpoint=ENDPOINT):
    """Have instance 1 acknowledge under one incarnation, and another process send heartbeats."""
    first = _heartbeat(clocked, 1, "1", acknowledged_token=7, acknowledged_at_s=clocked.now_s)
    clocked.coordinator.receive(first, ENDPOINT)
    clocked.now_s += 0.5
    clocked.coordinator.receive(_heartbeat(clocked, 1, "another"), endpoint)
    answered_at_s = clocked.now_s
    clocked.now_s += 0.4
    second = _heartbeat(
        clocked, 1, "another", acknowledged_token=7, acknowledged_at_s=answered_at_s
    )
    clocked.coordinator.receive(second, endpoint)


def test_a_restarted_instance_ends_the_need_for_the_support_of_its_earlier_process():
    """The lease ended in an outage of the store because a killed standby could not acknowledge."""
    clocked = ClockedCoordinator()
    _restart(clocked)
    assert clocked.lease.supporters.supported_until_s(["1"]) == float("inf")


def test_a_late_datagram_of_an_earlier_process_does_not_end_the_need_for_support():
    """The coordinator acted on while the present process, taken for ended, acquired the lease."""
    clocked = ClockedCoordinator()
    present = _heartbeat(clocked, 1, "1", acknowledged_token=7, acknowledged_at_s=clocked.now_s)
    until_s = clocked.now_s + lease_terms.CONTACT_DURATION_S
    clocked.coordinator.receive(present, ENDPOINT)
    clocked.now_s += 0.1
    clocked.coordinator.receive(_heartbeat(clocked, 1, "earlier"), ENDPOINT)
    assert clocked.lease.supporters.supported_until_s(["1"]) == until_s
    # The earlier process may have acknowledged an answer of before the present one was heard.
    late = _heartbeat(clocked, 1, "earlier", acknowledged_token=7, acknowledged_at_s=99.0)
    clocked.coordinator.receive(late, ENDPOINT)
    assert clocked.lease.supporters.supported_until_s(["1"]) == until_s


def test_two_processes_of_one_name_at_two_addresses_both_have_to_support_the_coordinator():
    """A process that serves on beside its successor counted as ended, and could act as well."""
    clocked = ClockedCoordinator()
    until_s = clocked.now_s + lease_terms.CONTACT_DURATION_S
    _restart(clocked, model.Endpoint("127.0.0.1", 2))
    assert clocked.lease.supporters.supported_until_s(["1"]) == until_s


def test_a_late_datagram_of_an_ended_process_does_not_end_its_successor():
    """A standby counted as ended, so that its silence did not end the coordinator's lease.

    The coordinator first heard the ended process after its successor: it had lost the lease and
    acquired it again meanwhile.
    """
    clocked = ClockedCoordinator()
    successor = _heartbeat(clocked, 1, "2", acknowledged_token=7, acknowledged_at_s=99.0)
    clocked.coordinator.receive(successor, ENDPOINT)
    late = _heartbeat(clocked, 1, "1", acknowledged_token=6, acknowledged_at_s=90.0)
    clocked.coordinator.receive(late, ENDPOINT)
    until_s = 99.0 + lease_terms.CONTACT_DURATION_S
    assert clocked.lease.supporters.supported_until_s(["2"]) == until_s


def test_change_numbers_go_on_after_an_interruption_of_the_lease():
    """Instances ignored the grants of a coordinator that had lost its lease for a moment."""
    clocked = ClockedCoordinator(with_group=True)
    clocked.withdraw()
    clocked.withdraw()
    assert clocked.change_number() == 2
    clocked.lease.token = None
    clocked.coordinator.step()
    clocked.lease.token = 7
    clocked.coordinator.step()
    assert clocked.change_number() == 2


async def _resigns(clocked):
    clocked.coordinator.step()
    await asyncio.sleep(0)
    return bool(clocked.lease.resignations)


@pytest.mark.asyncio
async def test_a_coordinator_that_stood_still_does_not_resign():
    """It heard no owner while it stood still, and gave up a lease that nobody else needed."""
    clocked = ClockedCoordinator()
    clocked.advance(4.0, heard=(1, 2, 3, 4, 5))
    assert not await _resigns(clocked)
    clocked.stall(5.0)
    assert not await _resigns(clocked)
    clocked.running.count_until(clocked.now_s)
    assert not await _resigns(clocked)


@pytest.mark.asyncio
async def test_a_coordinator_that_hears_too_few_owners_resigns_after_a_stall_too():
    """Guards against a cut-off coordinator that keeps its lease because it once stood still."""
    clocked = ClockedCoordinator()
    clocked.advance(4.0, heard=(1, 2, 3, 4, 5))
    clocked.stall(5.0)
    clocked.running.count_until(clocked.now_s)
    for _ in range(20):
        clocked.now_s += 0.1
        clocked.running.count_until(clocked.now_s)
        await _resigns(clocked)
    assert clocked.lease.resignations


@pytest.mark.asyncio
async def test_a_coordinator_whose_resignation_had_no_effect_resigns_again():
    """Guards against a coordinator that forgets, in an interruption, that it hears too few."""
    clocked = ClockedCoordinator()
    clocked.advance(4.0, heard=(1, 2, 3, 4, 5))
    clocked.now_s += 0.7
    clocked.lease.token = None
    clocked.coordinator.step()
    clocked.lease.token = 7
    for _ in range(20):
        clocked.now_s += 0.1
        await _resigns(clocked)
    assert clocked.lease.resignations


class Observed(ClockedCoordinator):
    """A coordinator of one group of three members, whose reports the test sets."""

    def __init__(self):
        super().__init__(with_group=True)
        self.group = self.groups["store"]
        self.group.update(SERVICE, MEMBERS, frozenset())
        self.sent = []
        self.coordinator.send = lambda message, _to: self.sent.append(message)
        self.coordinator._promotions_loaded_for = FakeLease.token
        # No query is sent while one is in progress; the test sets the reports.
        self.coordinator._status_pending.update("abc")

    def report(self, member, primary=False, term=2, index=10):
        """Set a member's status report as an answer to this instance."""
        observations = self.group.pools[member].observations
        observations.status = statements.MemberStatus(
            primary, term, positions.Position(term, index), 0.0, 0, 1
        )
        observations.status_at_s = observations.contact_at_s = self.now_s

    async def step(self):
        """Take a step, and another one when the records that it has begun to store are stored."""
        for _ in range(2):
            self.now_s += 0.04
            self.coordinator.step()
            for _ in range(5):
                await asyncio.sleep(0)

    def granted(self, number=1, reports=()):
        """Return the members that the answer to a heartbeat grants."""
        heartbeat = messages.Heartbeat(
            f"proxy-{number}", f"{number}", self.now_s, list(reports), 0, ["store"]
        )
        self.coordinator.receive(heartbeat, ENDPOINT)
        return [(grant.member, grant.term) for grant in self.sent[-1].grants]


@pytest.mark.asyncio
async def test_the_report_in_a_heartbeat_counts_for_the_answer_to_it():
    """The answer granted a primary that the heartbeat itself reported as a replica."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    assert observed.granted() == [("a", 2)]
    observed.now_s += 0.01
    replica = messages.Report("a", 0.0, False, 0.0, False, 1, messages.Position(1, 0))
    assert observed.granted(reports=[replica]) == []


@pytest.mark.asyncio
async def test_no_former_primary_is_granted_while_an_order_is_in_progress():
    """Guards against grants by reports from before an order to a replica that takes 0.6 s."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    observed.coordinator._group_states["store"].action_running = True
    observed.report("a", primary=False)
    await observed.step()
    assert observed.granted() == []


@pytest.mark.asyncio
async def test_reports_from_before_a_restart_do_not_count():
    """Another instance's report of the former process passed for the new one's state."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    of_former = messages.Report("a", 0.1, False, 0.1, True, 2, messages.Position(2, 99))
    observed.now_s += 0.1
    assert observed.granted(reports=[of_former]) == [("a", 2)]
    restarted = [dataclasses.replace(MEMBERS[0], started_ms=2), *MEMBERS[1:]]
    observed.group.update(SERVICE, restarted, frozenset())
    await observed.step()
    assert observed.granted(reports=[of_former]) == []
    view = observed.coordinator._member_views(observed.group, observed.now_s)[0]
    assert (view.primary, view.term, view.received_position) == (False, 0, None)
    observed.now_s += 1.0
    of_new = messages.Report("a", 0.0, False, 0.0, False, 1, messages.Position(1, 0))
    observed.granted(reports=[of_new])
    view = observed.coordinator._member_views(observed.group, observed.now_s)[0]
    assert (view.primary, view.term) == (False, 1)


@pytest.fixture
def logged():
    """Return a function that returns the fields of the lines with a text so far."""
    records = []
    handler_id = loguru.logger.add(lambda line: records.append(line.record), format="")
    yield lambda text: [record["extra"] for record in records if record["message"] == text]
    loguru.logger.remove(handler_id)


def _remember(observed):
    """Have a coordinator know of a request of its own for member b; return its number."""
    requests = observed.coordinator._promotion_requests
    number = requests.pending_of("store").add("b", 2, observed.now_s)
    requests.pending_of("store").record_unanswered(number)
    requests._remember(interfaces.PromotionRecord("r", "store", "b", 2), own=True)
    return number


@pytest.mark.asyncio
@pytest.mark.parametrize("given_up", [False, True])
async def test_a_primary_of_a_newer_term_is_logged_with_the_request_that_led_to_it(
    logged, given_up
):
    """The logs could not tell a late promotion from one that nobody had asked for."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    number = _remember(observed)
    if given_up:
        observed.coordinator._promotion_requests.pending_of("store").remove(number)
    observed.report("b", primary=True, term=3)
    await observed.step()
    first, promoted = logged("primary of a newer term seen")
    assert (first["member"], first["former_term"], first["request"]) == ("a", 0, "none")
    assert (promoted["member"], promoted["term"], promoted["former_term"]) == ("b", 3, 2)
    assert promoted["request"] == ("ended" if given_up else "pending")
    assert (promoted["replaced_term"], promoted["request_age_ms"]) == (2, 40)
    resolved = logged("promotion request no longer pending")
    assert [line["resolution"] for line in resolved] == ([] if given_up else ["in effect"])
    assert all(line["request_age_ms"] == 40 for line in resolved)
    observed.report("c", primary=True, term=4)
    observed.report("b", primary=True, term=5)
    await observed.step()
    assert logged("primary of a newer term seen")[-1]["request"] == (
        "none" if given_up else "repeated"
    )


@pytest.mark.asyncio
async def test_a_promotion_that_nobody_has_requested_is_counted():
    """Guards against primaries that change behind the coordinator's back without a sign."""
    observed = Observed()
    observed.report("a", primary=True)
    await observed.step()
    assert "newer_primaries_total{" not in observed.metrics.render().decode()
    observed.report("c", primary=True, term=3)
    await observed.step()
    lines = observed.metrics.render().decode().splitlines()
    assert 'bilberrystack_newer_primaries_total{request="none"} 1' in lines


@pytest.mark.asyncio
async def test_pending_requests_are_counted_at_the_coordinator_only():
    """Guards against a gauge that stays above 0 at an instance that decides nothing any more."""
    observed = Observed()
    await observed.step()
    _remember(observed)
    observed.coordinator._count_pending_promotions()
    assert "bilberrystack_promotions_pending 1" in observed.metrics.render().decode()
    observed.lease.token = None
    await observed.step()
    observed.coordinator._count_pending_promotions()
    assert "bilberrystack_promotions_pending 0" in observed.metrics.render().decode()


@pytest.mark.asyncio
async def test_the_first_grant_under_a_lease_is_logged_once(logged):
    """The logs could not tell which coordinator had begun to grant a group, and when."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    observed.granted()
    (line,) = logged("first grant of a group under this lease")
    assert (line["member"], line["term"], line["token"], line["change"]) == ("a", 2, 7, 0)
    assert observed.lease.grants_end_at_s == observed.now_s + permission.GRANT_DURATION_S


@pytest.mark.asyncio
async def test_a_promotion_request_is_logged_before_and_after_it(logged):
    """The line after the time limit alone did not say when a request had been sent."""
    observed = Observed()
    observed.report("a", primary=True)
    await observed.step()

    class Platform(FakePlatform):
        async def record_promotion(self, record):
            raise interfaces.StoreFailure("no answer")

        async def promote(self, *_, may_send):
            assert len(logged("promotion request sent")) == 1
            observed.now_s += 0.5
            raise interfaces.StoreFailure("no answer")

    observed.coordinator._promotion_requests._platform = Platform()
    state = observed.coordinator._group_states["store"]
    await observed.coordinator._promote("store", state, "b", 1)
    (sent,) = logged("promotion request sent")
    assert (sent["member"], sent["replaced_term"], sent["stored"]) == ("b", 2, False)
    (answered,) = logged("promotion requested")
    assert (answered["answer"], answered["took_ms"], answered["replaced_term"]) == (
        "unknown",
        500,
        2,
    )


@pytest.mark.asyncio
async def test_a_shorter_grant_does_not_end_an_earlier_one():
    """A promotion did not wait for a grant that a shorter one had followed."""
    observed = Observed()
    for member in "abc":
        observed.report(member, primary=member == "a")
    await observed.step()
    assert observed.granted() == [("a", 2)]
    granted_until_s = observed.now_s + permission.GRANT_DURATION_S
    observed.now_s += 0.1
    # A renewal that names another standby can end the lease sooner.
    observed.lease.ends_at_s = observed.now_s + 0.5
    assert observed.granted() == [("a", 2)]
    observed.withdraw()
    state = observed.coordinator._group_states["store"]
    assert state.unacknowledged_until_s == {"1": granted_until_s}
