Feature: Each caller gets its own consistent answer, whatever happens to sub-requests

  Scenario: Late, duplicate and foreign outcomes while versions and hosts change
    Replies arrive late, twice, out of order or for another attempt; upstreams
    join, leave and change what they hold; snapshots change; hedges and deadlines
    fire. A caller could then see rows of another request or of two snapshots, a
    retired credit twice, or a partial search reported as complete.

    Given a query state machine that checks each action against its own records
    Then the query state machine finds no sequence that violates an invariant
