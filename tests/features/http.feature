Feature: HTTP connections are bounded and stay sound

  Scenario Outline: A request that breaks a bound is answered and the connection closed
    Given an echo server with a header bound of 2048 and a body bound of 1000 bytes
    When a peer sends <bytes>
    Then the peer reads status <status> and the end of the connection

    Examples:
      | bytes                     | status |
      | an oversized header       | 431    |
      | an oversized body         | 413    |
      | an announced huge body    | 413    |
      | a body with two lengths   | 400    |
      | a body of a bad length    | 400    |
      | a bad chunk size          | 400    |
      | something other than HTTP | 400    |
      | half a request and waits  | 408    |
      | half a request and EOF    | 400    |

  Scenario: Hostile bytes never reach the handler changed and never end the server
    Given an echo server with a header bound of 2048 and a body bound of 1000 bytes
    Then 300 random mutations of a request are echoed whole, refused or closed

  Scenario: Two requests use one connection
    Given an echo server with a header bound of 2048 and a body bound of 1000 bytes
    When a client sends "one" and then "two"
    Then the client reads "one" and then "two" over 1 connection

  Scenario: A peer that closes its sending side still gets its answer
    Given an echo server with a header bound of 2048 and a body bound of 1000 bytes
    When a peer sends a whole request and EOF
    Then the peer reads status 200 and the end of the connection

  Scenario: A connection that was refused is told from one that was lost
    Then a request to a closed port raises ConnectFailed
    And a request to a silent server raises ConnectionLost

  Scenario: A cut answer is never taken for a whole one
    Then an answer that ends before its length raises ConnectionLost
