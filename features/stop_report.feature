Feature: The log tells what a stop did to each request

  Scenario: A request that a stop cuts off is logged
    A caller saw its connection close without a response. Without a line for the
    request, no one can tell whether the host had read it, and when.

    Given a listener for the stop report whose handler never ends
    When 1 request is being handled and the listener is closed 2 seconds into its drain
    Then there is 1 "request_cut" line
    And the line has request=r-0 method=POST path=/wait state=handling
    And the line has since_read_ms=2000 since_stop_ms=2000 unsent_bytes=0
    And the metrics have requests_cut_total 1, stopping 1 and stopping_seconds 2

  Scenario: A stop that cuts off many requests logs a limited number of lines
    Hundreds of lines at once would displace the other lines of the stop.

    Given a listener for the stop report whose handler never ends
    When 53 requests are being handled and the listener is closed 2 seconds into its drain
    Then there are 50 "request_cut" lines
    And there is 1 "requests_cut" line
    And the line has unlogged=3
    And the metrics have requests_cut_total 53, stopping 1 and stopping_seconds 2

  Scenario: A response that the client does not read is cut off
    The handler had ended, but most of the response never left the host.

    Given a listener for the stop report whose response is not read
    When 1 request is being written and the listener is closed 2 seconds into its drain
    Then there is 1 "request_cut" line
    And the line has request=r-0 method=POST path=/large state=writing
    And its unsent_bytes are more than 1000000

  Scenario: The connections are counted when the listener closes and the drain ends
    The number of requests left does not tell a request without a response from a
    connection that only waits for the client to close it.

    Given a listener for the stop report whose handler never ends
    When the listener drains with one idle connection and one request in flight
    Then there is 1 "listener_closed" line
    And the line has connections=2 reading=0 handling=1 writing=0 lingering=0 idle=1
    And the line has unaccepted=0 since_stop_ms=0
    And there is 1 "drain_ended" line
    And the line has connections=1 lingering=1 idle=0 timed_out=1 ended=1 left=0

  Scenario: Input behind a response that closes the connection is logged
    A client sends its next request before it learns that the connection closes. The
    request is not served, and the client has no response to it.

    Given a listener for the stop report whose responses close the connection
    When a client sends a second request after such a response
    Then there is 1 "input_discarded" line
    And its bytes are those of the second request

  Scenario: A request whose client ends its side of the connection is logged
    The handler is cancelled as if the client had given up, although a client may end
    only its own side and still wait for the response.

    Given a listener for the stop report whose handler never ends
    When a client ends its side of the connection 2 seconds into the drain
    Then there is 1 "closed_by_client" line
    And the line has request=r-0 path=/wait state=handling since_read_ms=2000 reset=0
    And there are 0 "request_cut" lines

  Scenario: The requests that an entry host has passed on are logged when it closes
    The upstream may have run a request that is cut off. The line names the upstream and
    tells how long ago the request was sent to it.

    Given a request that arrived 3 seconds ago and was sent to an upstream 2 seconds ago
    When the requests in flight are logged
    Then there is 1 "request_in_flight" line
    And the line has request=r-1 since_arrival_ms=3000 since_send_ms=2000 attempts=1
    And the line has shards=2 pending=2 time_left_ms=1000 upstreams=u-1
