Feature: Ages are counted by a clock that also runs while a host stands still

  Scenario: A host is suspended for seconds
    The machine under a leader is suspended and woken. On a clock that stood still
    with it the lease looks fresh, and the host answers a read with a document that
    another leader has replaced meanwhile.

    Given a system whose boot clock reads 100 s and whose monotonic clock reads 40 s
    When the system is suspended for 5 s
    Then 5 s have passed on the clock of the product
