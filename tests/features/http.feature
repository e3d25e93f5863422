Feature: HTTP connections enforce their limits and detect broken peers

  Scenario Outline: A request over a limit gets an error and the connection is closed
    Given an echo server with a header limit of 2048 and a body limit of 1000 bytes
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

  Scenario: Malformed requests never reach the handler altered or stop the server
    Given an echo server with a header limit of 2048 and a body limit of 1000 bytes
    Then 300 random mutations of a request are echoed completely, refused or closed

  Scenario: Two requests use one connection
    Given an echo server with a header limit of 2048 and a body limit of 1000 bytes
    When a client sends "one" and then "two"
    Then the client reads "one" and then "two" over 1 connection

  Scenario: A peer that closes its sending side still gets its response
    Given an echo server with a header limit of 2048 and a body limit of 1000 bytes
    When a peer sends a whole request and EOF
    Then the peer reads status 200 and the end of the connection

  Scenario: A refused connection is distinguished from a lost one
    Then a request to a closed port raises ConnectFailed
    And a request to an unresponsive server raises ConnectionLost

  Scenario: A truncated response is never accepted as complete
    Then a response that ends before its content length raises ConnectionLost
