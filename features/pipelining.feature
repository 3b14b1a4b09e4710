Feature: Clients that send ahead, send small pieces or do not read

  Scenario: Responses that are not read are limited together
    Each is within the memory of a small host, and is kept until its client reads it.
    Given an HTTP listener for clients that send ahead
    When 8 clients request responses of 10000000 bytes and do not read them
    Then the listener holds at most 40000000 bytes of responses
    And a client that reads gets a response of 10000000 bytes

  Scenario: A body in chunks of one byte takes no more memory than one in a piece
    Each chunk was kept as an object of its own, of 49 bytes for one.
    Given an HTTP listener for clients that send ahead
    When a body of 20000 bytes arrives in chunks of one byte
    Then the listener takes at most 300000 bytes for it

  Scenario: Requests that are sent ahead and read are answered in order
    A client that reads what it gets may send more than a host buffers.
    Given an HTTP listener for clients that send ahead
    When a client sends 3000 numbered requests ahead and reads the answers
    Then it gets 3000 answers in order

  Scenario: Input sent behind an unanswered request is not buffered without limit
    Each answer let the host read more, however much was still unread.
    Given an HTTP listener for clients that send ahead
    When numbered requests are sent ahead on 2 connections until no more are read
    Then the listener buffers at most 100000 bytes of each
    And their connections are open

  Scenario: Clients that send ahead beyond the number of such connections are closed
    What they send would take up the memory of the kernel instead.
    Given an HTTP listener for clients that send ahead
    When numbered requests are sent ahead on 5 connections until no more are read
    Then the listener buffers at most 100000 bytes of each
    And all but 2 of their connections end with an answer that says so

  Scenario: A connection whose client sends too much ahead answers no cut request
    What is discarded may end in the middle of a request.
    Given an HTTP listener for clients that send ahead
    When numbered requests are sent ahead on 5 connections until no more are read
    Then no request was handled that was not sent
