"""Whether a version answers worse than the one that it is to replace.

The load it answers: versions that fail or are several times slower, from the start,
after a while, under load or on one route only, beside upstreams that are slow for
reasons of their own. Few answers are there to tell them apart, so it is a sequential
test (CUSUM): each answer adds what it says for and against, and what was good long ago
does not outweigh what is bad now.
"""

import dataclasses
import math

from greengagehaven.protocol import rollouts

MIN_BAD = 5
"""Bad answers below which nothing is concluded."""

BAD_AT = 4.6
"""Sum of the log-likelihood ratios, beyond the logarithm of the number of answers, at
which a version is bad: by chance at most one good one in a hundred gets there."""

OTHERS_BAD_AT = 4.0
"""The same for all upstreams but the worst, which have to get there besides: one may be
slow for reasons of its own, a bad version is so everywhere."""

SUSPECT_AT = 4.0
"""Sum above which a version is not trusted with more requests yet."""

ADDED_SHARE = 0.3
"""Share of the sound answers that a bad version is expected to spoil at least."""

PRIOR_BAD = 1.0
PRIOR_ANSWERS = 25.0
"""Answers that the share of bad ones is taken to be known from before the first."""

MAX_USUAL_SHARE = 0.6

ALL_ROUTES = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """What the answers say of a version.

    :param ratio: sum of the log-likelihood ratios of bad against sound, without the
        worst upstream where there are several; the greatest over all routes.
    :param route: that it is of, empty for all of them together.
    :param answers: of the target version so far.
    :param bad: of these.
    :param usual_share: of other versions' answers that are bad.
    """

    ratio: float = 0.0
    route: str = ALL_ROUTES
    answers: int = 0
    bad: int = 0
    usual_share: float = 0.0
    is_bad: bool = False

    @property
    def is_suspect(self) -> bool:
        """Tell whether the version must not get more requests yet."""
        return self.is_bad or self.ratio > SUSPECT_AT


class SequentialTest:
    """Takes answers as they come, of one route each, and says what they amount to."""

    def __init__(self) -> None:
        self._answers = 0
        self._bad = 0
        self._routes_by_name: dict[str, _RouteTest] = {ALL_ROUTES: _RouteTest()}

    def add(self, tally: rollouts.Tally) -> None:
        """Record answers that came since the last ones."""
        if tally.upstream_id:
            self._answers += tally.answers
            self._bad += tally.bad
        of_route = self._routes_by_name.setdefault(tally.route, _RouteTest())
        of_route.add(tally)
        self._routes_by_name[ALL_ROUTES].add(tally)

    def verdict(self) -> Verdict:
        """Return what all answers say, by the route on which they say the worst."""
        name, worst = max(
            self._routes_by_name.items(), key=lambda item: item[1].severity()
        )
        return Verdict(
            ratio=worst.ratio(),
            route=name,
            answers=self._answers,
            bad=self._bad,
            usual_share=worst.usual_share,
            is_bad=worst.is_bad and self._bad >= MIN_BAD,
        )


class _RouteTest:
    """The test on one route, or on all of them together.

    Beside the sum over all upstreams there is one without each of them.
    """

    def __init__(self) -> None:
        self._other_answers = 0
        self._other_bad = 0
        self._answers = 0
        self._sum = 0.0
        self._sums_by_left_out: dict[str, float] = {}

    @property
    def usual_share(self) -> float:
        """Return the share of other versions' answers that are bad."""
        share = (self._other_bad + PRIOR_BAD) / (self._other_answers + PRIOR_ANSWERS)
        return min(MAX_USUAL_SHARE, share)

    @property
    def is_bad(self) -> bool:
        """Tell whether the version is bad by these answers."""
        chance = math.log(max(1, self._answers))
        return self._sum > chance + BAD_AT and self.ratio() > chance + OTHERS_BAD_AT

    def add(self, tally: rollouts.Tally) -> None:
        """Record answers."""
        if not tally.upstream_id:
            self._other_answers += tally.answers
            self._other_bad += tally.bad
            return
        self._answers += tally.answers
        added = _log_ratio(tally.answers, tally.bad, self.usual_share)
        # What was seen before an upstream's first answer is of the others alone.
        self._sums_by_left_out.setdefault(tally.upstream_id, self._sum)
        for left_out, known in self._sums_by_left_out.items():
            if left_out != tally.upstream_id:
                self._sums_by_left_out[left_out] = max(0.0, known + added)
        self._sum = max(0.0, self._sum + added)

    def ratio(self) -> float:
        """Return the sum, without the worst upstream where there are several."""
        if len(self._sums_by_left_out) < 2:
            return self._sum
        return min(self._sum, *self._sums_by_left_out.values())

    def severity(self) -> tuple[bool, float]:
        """Return what orders routes by how badly the version does there."""
        return self.is_bad, self.ratio()


def _log_ratio(answers: int, bad: int, usual: float) -> float:
    """Return the log-likelihood ratio of a bad version against a sound one."""
    spoilt = usual + ADDED_SHARE * (1.0 - usual)
    against = bad * math.log(spoilt / usual)
    return against + (answers - bad) * math.log((1.0 - spoilt) / (1.0 - usual))
