Feature: Retries stay within their budget

  Scenario: A service is completely down
    Every upstream of a service resets each request. If every failure were
    retried, the load would double just when the service tries to recover.

    Given a tier with three replicas of each of two services
    When 505 queries go to the first service, whose upstreams reset every request
    Then its upstreams got at most 566 sub-requests
    And every one of those queries was refused

  Scenario: The outage of one service does not use up the retries of others
    One service is down, and a single upstream of another fails at the same time.
    A shared budget would be empty, and the second query would fail too.

    Given a tier with three replicas of each of two services
    When 505 queries go to the first service, whose upstreams reset every request
    And a query to the second service is reset once
    Then that query is answered by another replica

  Scenario: The budget is capped after a long period without failures
    Nothing failed for a long time, and every first attempt added to the budget.
    Without a cap the accumulated retries would hit a service that has just gone
    down.

    Given a tier with three replicas of each of two services
    And 5000 queries to the first service were answered
    When 100 queries go to the first service, whose upstreams reset every request
    Then its upstreams got at most 131 sub-requests
