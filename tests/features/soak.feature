Feature: The fault soak

  Scenario Outline: Each promise that the soak checks is seen when it is broken
    Given what callers and upstreams saw of sound requests
    Then no promise is broken
    When <event>
    Then the broken promise is "<word>"

    Examples:
      | event                                        | word    |
      | an order runs at a second upstream           | twice   |
      | an order that ran was answered as not run    | refused |
      | a status has the answer of another request   | mixed   |
      | a draft misses an event and looks whole      | order   |
      | a draft has an event twice before it is cut  | order   |
      | something ran that no caller sent            | unasked |
      | a request ran with a key taken away long ago | key     |
      | a request that ran got no whole answer       | lost    |

  Scenario Outline: A short soak of the real programs keeps the promises
    Then a soak of <seconds> seconds with seed <seed> keeps all promises

    Examples:
      | seed | seconds |
      | 4    | 4       |
      | 7    | 4       |
