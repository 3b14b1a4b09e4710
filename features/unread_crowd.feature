Feature: Clients that send ahead and do not read their answers end no process
  Each answered request let the host buffer more of what had been sent ahead, until its
  process was above the memory of its machine.

  Scenario Outline: A crowd sends <kind> ahead to <listener>
    When a crowd sends <kind> ahead to the listener for <listener>, unread
    Then the process runs, within the memory and descriptors of its machine
    And an ordinary request is answered

    Examples: callers
      | listener | kind                                    |
      | callers  | an unknown path                         |
      | callers  | a routed path without the usual headers |
      | callers  | an unknown path, with a body            |
      | callers  | a body in chunks of one byte            |
      | callers  | a head without end                      |
      | callers  | a body without end                      |

    Examples: other listeners
      | listener                      | kind                        |
      | the ready path                | the ready path              |
      | metrics of an entry host      | the metrics                 |
      | other hosts at an entry host  | an unknown path             |
      | operators                     | the configuration           |
      | operators                     | an unknown path             |
      | operators                     | a heartbeat that is no JSON |
      | metrics of a control host     | the metrics                 |
      | other hosts at a control host | an unknown path             |

  Scenario Outline: A crowd sends <kind> ahead to <listener> and reads a little
    Answers that are read now and then keep the write timeout from ending a connection.
    When a crowd sends <kind> ahead to the listener for <listener>, hardly reading
    Then the process runs, within the memory and descriptors of its machine
    And an ordinary request is answered

    Examples:
      | listener       | kind            |
      | callers        | an unknown path |
      | the ready path | the ready path  |
