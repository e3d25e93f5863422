Feature: Memory limits for request bodies

  # A crowd that sends bodies without end must neither end a process nor stop it from
  # answering ordinary callers. The limit of one body is 4,194,304 bytes.

  Scenario Outline: A router survives callers that <behaviour>
    Given a router of 96 MB with a body limit of 4194304 bytes
    When a crowd of 30 connections is told to <behaviour>
    Then the process lives with a peak below 96 MB and 120 descriptors
    And one ordinary request is answered

    Examples:
      | behaviour                                                  |
      | send large chunks up to the limit less a byte and stay     |
      | send chunks of three bytes and stay                        |
      | send chunks far over the limit                             |
      | announce and send a body far over the limit                |
      | complete a request of the limit one by one and stay        |

  Scenario Outline: An entry survives callers that <behaviour>
    Given an entry of 96 MB with a body limit of 4194304 bytes
    When a crowd of 30 connections is told to <behaviour>
    Then the process lives with a peak below 96 MB and 120 descriptors
    And one ordinary request is answered

    Examples:
      | behaviour                                                  |
      | send large chunks up to the limit less a byte and stay     |
      | send chunks of three bytes and stay                        |
      | send chunks far over the limit                             |
      | announce and send a body far over the limit                |
      | complete a request of the limit one by one and stay        |

  Scenario Outline: A single request of the largest size is served at <process>
    Given <process> of 96 MB with a body limit of 4194304 bytes
    When one caller sends a body of 4194304 bytes
    Then it is answered with status <status>
    And the process lives with a peak below 96 MB and 120 descriptors

    Examples:
      | process  | status |
      | a router | 200    |
      | an entry | 201    |
