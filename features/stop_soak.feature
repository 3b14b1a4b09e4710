Feature: Hosts that are stopped again and again cut no request while all else changes

  Scenario: A short soak of stops breaks nothing
    Guards against requests that are cut, run twice or answered with the response of
    another when a stop coincides with changes, faults of control hosts or of upstreams.
    By hand: behave features/stop_soak.feature -D seed=2 -D entries=12 -D seconds=60

    When entry hosts are stopped under load as a seed says
    Then no request was cut, run twice or given the response of another
    And every process ended in time with exit code 0 and none left
