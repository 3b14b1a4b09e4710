Feature: Durations include the time that a host is suspended

  Scenario: A host is suspended for seconds
    The machine of a leader is suspended and resumed. On a clock that stops
    meanwhile the lease still looks valid, and the host answers a read with a
    document that another leader has replaced.

    Given a system whose boot clock reads 100 s and whose monotonic clock reads 40 s
    When the system is suspended for 5 s
    Then the system clock has advanced by 5 s
