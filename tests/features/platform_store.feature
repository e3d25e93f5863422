Feature: The platform's key-value service

  Scenario Outline: The platform store over <form> passes the case <case>
    Then the platform store over <form> passes the case "<case>"

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

  Scenario: The emulator process applies its control requests
    Given the platform emulator runs with two addresses
    When a control request makes the first address fail
    Then a call to the first address fails and one to the second succeeds
    And the control report counts the calls
    And a control request with an unknown fault is refused
    And a control request marks an instance as leaving
