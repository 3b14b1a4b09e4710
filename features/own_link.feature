Feature: The parts of a sweep come over the host's own link

  Scenario: The line of a sweep's end tells parts that waited for each other
    A sweep took long, and its last parts came long after the first. Whether their
    upstreams were slow or the parts waited for each other on the way in decides what
    helps; an operator cannot tell without their times and sizes.

    Given sweeps of 36 parts of 1,300 bytes over a link of 1,250,000 bytes a second
    And upstreams that take 11 ms
    When 1 sweep is played
    Then the line of its end tells 46800 bytes between 12 and 48 ms
