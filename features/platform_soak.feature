Feature: Entry hosts of the platform obey the newest configuration through faults

  Scenario: A short soak of processes breaks nothing
    Faults that a single scenario plays one by one come in series here and overlap. By
    hand, with another seed and more hosts: behave features/platform_soak.feature
    -D seed=5 -D entries=12

    When control and entry hosts are disturbed in 3 bursts drawn from a seed
    Then every entry host obeyed the change after each burst within 3 seconds
