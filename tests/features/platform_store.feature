Feature: The platform's key-value service

  Scenario Outline: <case> of the platform store in <form>
    Then the platform store in <form> passes the case "<case>"

    Examples:
      | case                  | form   |
      | compare and swap      | memory |
      | compare and swap      | http   |
      | key list              | memory |
      | key list              | http   |
      | value bound           | memory |
      | value bound           | http   |
      | watch                 | memory |
      | watch                 | http   |
      | lease                 | memory |
      | lease                 | http   |
      | lost answer           | memory |
      | lost answer           | http   |
      | late write            | memory |
      | late write            | http   |
      | outage                | memory |
      | outage                | http   |
      | outage of one caller  | memory |
      | silent connections    | http   |
      | throttling            | memory |
      | throttling            | http   |
      | stale reads           | memory |
      | stale reads           | http   |
      | instance list         | memory |
      | instance list         | http   |

  Scenario: The emulator as a process obeys its control calls
    Given the platform emulator runs with two addresses
    When its control cuts the first address
    Then a call to the first address fails and one to the second succeeds
    And its control counts the calls
    And its control refuses an unknown fault
    And its control marks an instance as leaving
