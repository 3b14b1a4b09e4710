"""Sequential test of whether a new version performs worse than the current one.

Versions may fail or be several times slower: from the start, after a while, under load
or on one route only. Some upstreams are slow for other reasons, and there are few
answers to tell the cases apart. A sequential test (CUSUM) therefore adds the
log-likelihood ratio of each answer, and early good answers do not outweigh recent bad
ones.
"""

import dataclasses
import math

from greengagehaven.protocol import rollouts

MIN_BAD_ANSWERS = 5
"""Bad answers required before a version can be judged bad."""

BAD_THRESHOLD = 4.6
"""Sum of the log-likelihood ratios, beyond the logarithm of the number of answers,
above which a version is bad. At most one in a hundred sound versions exceeds it by
chance."""

OTHERS_BAD_THRESHOLD = 4.0
"""The same for the sum without the worst upstream, which must be exceeded too: a single
upstream may be slow for other reasons, a bad version is slow on all of them."""

SUSPECT_THRESHOLD = 4.0
"""Sum above which a version gets no more traffic for now."""

MIN_ADDED_BAD_SHARE = 0.3
"""Minimum share of otherwise good answers that a bad version turns bad."""

PRIOR_BAD_ANSWERS = 1.0
PRIOR_ANSWERS = 25.0
"""Bad answers and answers of other versions assumed before the first one, as a prior
for the baseline share of bad answers."""

MAX_USUAL_SHARE = 0.6

ALL_ROUTES = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of the test of a version.

    :param ratio: sum of the log-likelihood ratios of bad against sound on the worst
        route, without its worst upstream if there are several.
    :param route: the route of ``ratio``, empty for all routes together.
    :param answers: answers of the target version so far.
    :param bad: bad answers among them.
    :param usual_share: share of bad answers of the other versions.
    :param is_bad: whether the version is bad.
    """

    ratio: float = 0.0
    route: str = ALL_ROUTES
    answers: int = 0
    bad: int = 0
    usual_share: float = 0.0
    is_bad: bool = False

    @property
    def is_suspect(self) -> bool:
        """Return whether the version must not get more traffic for now."""
        return self.is_bad or self.ratio > SUSPECT_THRESHOLD


class SequentialTest:
    """Tests answers as they arrive, separately per route and for all together."""

    def __init__(self) -> None:
        self._answers = 0
        self._bad = 0
        self._tests_by_route: dict[str, _RouteTest] = {ALL_ROUTES: _RouteTest()}

    def add(self, tally: rollouts.AnswerCounts) -> None:
        """Add the answers since the last call."""
        if tally.upstream_id:
            self._answers += tally.answers
            self._bad += tally.bad
        route_test = self._tests_by_route.setdefault(tally.route, _RouteTest())
        route_test.add(tally)
        self._tests_by_route[ALL_ROUTES].add(tally)

    def verdict(self) -> Verdict:
        """Return the verdict for the route with the worst result."""
        name, worst = max(
            self._tests_by_route.items(), key=lambda item: item[1].severity()
        )
        return Verdict(
            ratio=worst.ratio(),
            route=name,
            answers=self._answers,
            bad=self._bad,
            usual_share=worst.usual_share,
            is_bad=worst.is_bad and self._bad >= MIN_BAD_ANSWERS,
        )


class _RouteTest:
    """The test of one route, or of all routes together.

    Besides the sum over all upstreams it keeps one sum without each upstream, since a
    version must not be judged bad for a single slow upstream.
    """

    def __init__(self) -> None:
        self._other_answers = 0
        self._other_bad = 0
        self._answers = 0
        self._sum = 0.0
        self._sums_by_excluded_id: dict[str, float] = {}

    @property
    def usual_share(self) -> float:
        """Return the share of bad answers of other versions."""
        share = (self._other_bad + PRIOR_BAD_ANSWERS) / (
            self._other_answers + PRIOR_ANSWERS
        )
        return min(MAX_USUAL_SHARE, share)

    @property
    def is_bad(self) -> bool:
        """Return whether both sums exceed their thresholds."""
        chance_allowance = math.log(max(1, self._answers))
        return (
            self._sum > chance_allowance + BAD_THRESHOLD
            and self.ratio() > chance_allowance + OTHERS_BAD_THRESHOLD
        )

    def add(self, tally: rollouts.AnswerCounts) -> None:
        """Add answers."""
        if not tally.upstream_id:
            self._other_answers += tally.answers
            self._other_bad += tally.bad
            return
        self._answers += tally.answers
        added = _log_ratio(tally.answers, tally.bad, self.usual_share)
        # Before an upstream's first answer, all answers are from other upstreams.
        self._sums_by_excluded_id.setdefault(tally.upstream_id, self._sum)
        for excluded_id, total in self._sums_by_excluded_id.items():
            if excluded_id != tally.upstream_id:
                self._sums_by_excluded_id[excluded_id] = max(0.0, total + added)
        self._sum = max(0.0, self._sum + added)

    def ratio(self) -> float:
        """Return the sum, without the worst upstream if there are several."""
        if len(self._sums_by_excluded_id) < 2:
            return self._sum
        return min(self._sum, *self._sums_by_excluded_id.values())

    def severity(self) -> tuple[bool, float]:
        """Return the sort key that orders routes by how badly the version performs."""
        return self.is_bad, self.ratio()


def _log_ratio(answers: int, bad: int, usual: float) -> float:
    """Return the log-likelihood ratio of a bad version against a sound one."""
    bad_if_faulty = usual + MIN_ADDED_BAD_SHARE * (1.0 - usual)
    against = bad * math.log(bad_if_faulty / usual)
    return against + (answers - bad) * math.log((1.0 - bad_if_faulty) / (1.0 - usual))
