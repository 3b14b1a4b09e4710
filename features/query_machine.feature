Feature: Whatever happens to sub-requests, a caller gets its own whole answer

  Scenario: Late, doubled and foreign outcomes while versions and hosts change
    Replies come late, twice, out of order or for another attempt, upstreams
    come, go and change what they hold, index versions change, hedges and
    deadlines fire. A caller would see rows of another request or of two index
    versions, a retired credit twice, or a partial search called complete.

    Given a query state machine that checks each action against its own records
    Then the query state machine finds no sequence that breaks a promise
