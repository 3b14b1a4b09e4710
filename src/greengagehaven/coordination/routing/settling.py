"""Settles requests after a change: answers them or schedules their next wake-up."""

from greengagehaven.coordination.routing import completion, events, request, timers


class RequestSettler:
    """Answers requests whose outcome is certain, and sets the timers of the others.

    :param completion: decides when a request is answered.
    :param timers: timers of the router.
    """

    def __init__(
        self, *, completion: completion.RequestCompletion, timers: timers.Timers
    ) -> None:
        self._completion = completion
        self._timers = timers

    def settle(
        self,
        routed: request.RoutedRequest,
        actions: list[events.Action],
        *,
        is_only_part: bool = False,
    ) -> None:
        """Answer a request if its outcome is certain, else schedule its next wake-up.

        :param is_only_part: whether the only change was that a part arrived.
        """
        if routed.is_over:
            return
        self._completion.settle(routed, actions)
        if routed.is_over:
            return
        has_just_enough = routed.part_count == routed.route.min_shards
        if is_only_part and not has_just_enough and routed.wake_at < float("inf"):
            # A part only removes wake-up times, so the scheduled one is early enough.
            return
        wake_at = routed.next_wake_at()
        if wake_at < routed.wake_at:
            routed.wake_at = wake_at
            self._timers.add(wake_at, routed.number)
