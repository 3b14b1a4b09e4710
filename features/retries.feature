Feature: Retries stay within their budget

  Scenario: A service is out altogether
    Every upstream of a service breaks each request off. If every failure were
    retried, the load would double just when the service tries to come back.

    Given a tier with three replicas of each of two services
    When 505 queries go to the first service, whose upstreams break every one off
    Then its upstreams got at most 566 sub-requests
    And every one of those queries has its refusal

  Scenario: The outage of one service leaves the others their retries
    One service is out, and a single upstream of another fails at the same time.
    A budget that both share would be empty, and the second query would fail too.

    Given a tier with three replicas of each of two services
    When 505 queries go to the first service, whose upstreams break every one off
    And a query to the second service is broken off once
    Then that query is answered by another replica

  Scenario: A quiet hour saves up no storm
    For a long time nothing failed, and every first attempt added to the budget.
    Spent at once, what was saved would hit a service that has just gone down.

    Given a tier with three replicas of each of two services
    And 5000 queries to the first service were answered
    When 100 queries go to the first service, whose upstreams break every one off
    Then its upstreams got at most 131 sub-requests
