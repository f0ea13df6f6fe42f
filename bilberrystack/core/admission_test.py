"""Tests of the admission control of one group."""

from bilberrystack.core import admission

RequestClass = admission.RequestClass


def controller_with(slots=1):
    return admission.AdmissionController({"a": slots})


def ticket(controller, caller="x", request_class=RequestClass.WRITE, deadline=100.0, member="a"):
    def choose_member():
        return member if controller.free_slots(member) > 0 else None

    return admission.Ticket(caller, request_class, deadline, choose_member)


def grant_all(controller):
    """Grants the queued tickets one after the other and returns them in this order."""
    order = []
    while (granted := controller.next_grant()) is not None:
        order.append(granted)
        controller.release(granted, None)
    return order


def occupied_controller():
    controller = controller_with()
    running = ticket(controller)
    assert controller.offer(running, 0.0) is None and running.granted_member == "a"
    return controller, running


def test_callers_are_served_round_robin():
    """Guards against a caller with many requests that delays the requests of other callers."""
    controller, running = occupied_controller()
    for _ in range(5):
        controller.offer(ticket(controller, "many"), 0.0)
    controller.offer(ticket(controller, "few"), 0.0)
    controller.release(running, None)
    assert [granted.caller for granted in grant_all(controller)][:2] == ["many", "few"]


def test_open_transactions_have_priority():
    """Guards against open transactions that hold connections while new work is served first."""
    controller, running = occupied_controller()
    controller.offer(ticket(controller, "new"), 0.0)
    controller.offer(ticket(controller, "open", RequestClass.TRANSACTION), 0.0)
    controller.release(running, None)
    assert [granted.caller for granted in grant_all(controller)] == ["open", "new"]


def test_request_classes_are_served_round_robin():
    """Guards against writes that starve the reads of a group whose primary serves them."""
    controller, running = occupied_controller()
    for request_class in (
        RequestClass.WRITE,
        RequestClass.WRITE,
        RequestClass.WRITE,
        RequestClass.PRIMARY_READ,
        RequestClass.PRIMARY_READ,
    ):
        controller.offer(ticket(controller, request_class=request_class), 0.0)
    controller.release(running, None)
    assert [granted.request_class for granted in grant_all(controller)][:4] == [
        RequestClass.WRITE,
        RequestClass.PRIMARY_READ,
    ] * 2


def test_expected_wait_beyond_the_deadline_is_refused_with_a_hint():
    """Guards against queueing requests that will miss their deadline."""
    controller, running = occupied_controller()
    controller.release(running, 0.0)
    for _ in range(200):
        probe = ticket(controller)
        controller.offer(probe, 0.0)
        controller.release(probe, 1.0)
    controller.offer(ticket(controller), 0.0)
    for _ in range(3):
        assert controller.offer(ticket(controller), 0.0) is None
    refused = controller.offer(ticket(controller, deadline=2.0), 0.0)
    assert refused is not None and not refused.queue_full and 2.0 < refused.wait_s < 4.0
    # After a wait of about 3 s, the required headroom of service times fits before a deadline of
    # 8 s but not before a deadline of 5 s.
    assert controller.offer(ticket(controller, deadline=5.0), 0.0) is not None
    assert controller.offer(ticket(controller, deadline=8.0), 0.0) is None


def test_queue_is_bounded():
    """Guards against unbounded memory use during an overload."""
    controller, _ = occupied_controller()
    for _ in range(admission.MAX_QUEUE_DEPTH):
        assert controller.offer(ticket(controller, deadline=1e9), 0.0) is None
    refused = controller.offer(ticket(controller, deadline=1e9), 0.0)
    assert refused is not None and refused.queue_full


def test_slots_are_never_exceeded_or_lost():
    """Guards against a withdrawn ticket that keeps its slot or releases it twice."""
    controller, running = occupied_controller()
    waiting, leaving = ticket(controller), ticket(controller)
    controller.offer(waiting, 0.0)
    controller.offer(leaving, 0.0)
    assert controller.next_grant() is None
    controller.withdraw(leaving)
    controller.release(running, None)
    assert controller.next_grant() is waiting and controller.free_slots("a") == 0
    controller.withdraw(waiting)
    assert controller.free_slots("a") == 1 and controller.depth == 0 and controller.in_flight == 0


def test_held_writes_wait_and_open_transactions_are_served():
    """Guards against a planned primary change that blocks open transactions or admits writes."""
    controller = controller_with()
    controller.hold(RequestClass.WRITE)
    held, passing = ticket(controller), ticket(controller, request_class=RequestClass.TRANSACTION)
    controller.offer(held, 0.0)
    controller.offer(passing, 0.0)
    assert held.granted_member is None and passing.granted_member == "a"
    controller.release(passing, None)
    assert controller.next_grant() is None
    controller.resume_all()
    assert controller.next_grant() is held


def test_read_without_a_suitable_replica_does_not_block_other_callers():
    """Guards against a read without a suitable replica that blocks the reads of other callers."""
    controller, running = occupied_controller()
    controller.offer(admission.Ticket("blocked", RequestClass.READ, 100.0, lambda: None), 0.0)
    controller.offer(ticket(controller, "free", RequestClass.READ), 0.0)
    controller.release(running, None)
    assert [granted.caller for granted in grant_all(controller)] == ["free"]
