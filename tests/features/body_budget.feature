Feature: Account of the memory that requests hold

  # Guards against the loss of ordinary callers' bodies to a crowd of large ones.
  Scenario Outline: The unfinished body that held most for longest is given up
    Given a budget of 1000 KB, an ordinary body of 60 KB, and bodies <first> and <second>
    When a new body grows by 400 KB
    Then only the body "<given up>" is given up

    Examples:
      | first                 | second                | given up |
      | 300 KB 2 s unfinished | 400 KB 2 s unfinished | second   |
      | 300 KB 4 s unfinished | 400 KB 2 s unfinished | first    |
      | 300 KB 9 s complete   | 400 KB 2 s unfinished | second   |
      | 350 KB 9 s complete   | 400 KB 9 s complete   | new      |
      | 110 KB 9 s unfinished | 400 KB 9 s complete   | first    |
      | 110 KB 0 s unfinished | 600 KB 9 s complete   | new      |

  Scenario: The account stays within its bound over random uses and ends at zero
    Then 200 random uses keep the account within its bound and end at zero

  # Guards against a body whose middle was dropped reaching a handler.
  Scenario: A body that is given up halfway is refused with 503 and never handled
    Given a server with a budget for bodies of 300 KB
    When a peer sends half of 300 KB, another 300 KB, and the first one the rest
    Then the first peer reads status 503 with Retry-After, and only the other is handled

  # Guards against an event loop that parses thousands of chunks without a pause.
  Scenario: Small chunks are parsed in turn with other tasks
    Given a server with a budget for bodies of 300 KB
    Then other tasks run at least 200 times while 8000 chunks of three bytes arrive

  Scenario Outline: A body needs a minimum rate once it is large
    Given a server with a budget for bodies of 300 KB
    When a peer sends <first> KB and then <kb> KB every <seconds> s, 9 times
    Then it reads status <status>

    Examples:
      | first | kb | seconds | status |
      | 100   | 0  | 1       | 408    |
      | 100   | 4  | 1.5     | 408    |
      | 100   | 7  | 1.5     | 200    |
      | 1     | 1  | 1.5     | 200    |

  # Guards against memory that is held although nothing may send the body again.
  Scenario Outline: A router keeps a body only while it may send it again
    Given a platform with two members of a plain service
    And every member has the fault "silent"
    Then a body of 200 KB sent to "<path>" is <state> while its response is awaited

    Examples:
      | path      | state |
      | /order/1  | gone  |
      | /status/1 | held  |

  Scenario Outline: Memory settings out of bounds are refused with their key
    Then <program> refuses the memory <value> and names "<key>"

    Examples:
      | program  | value   | key              |
      | a router | -5      | limits.memory_mb |
      | a router | 9999999 | limits.memory_mb |
      | an entry | 64      | http.memory_mb   |
      | an entry | 9999999 | http.memory_mb   |
