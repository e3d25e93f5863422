Feature: Routers share their retries

  Scenario Outline: Retries that a fixed split denies to few routers are granted
    Given 72 routers that share 320 retries in 10 seconds
    And the messages between them <arrive>
    When 3 routers ask for 60 retries each within 2 seconds
    Then <least> to <most> of them are granted

    Examples:
      | arrive   | least | most |
      | arrive   | 140   | 180  |
      | are lost | 9     | 9    |

  Scenario: Routers whose own retries suffice send no message
    Given 72 routers that share 320 retries in 10 seconds
    When 72 routers ask for 3 retries each within 2 seconds
    Then all of them are granted without a message

  Scenario: Requests whose caller reads the response get the last part of the pool
    Given 72 routers that share 320 retries in 10 seconds
    When 1 router asks for 400 retries each within 2 seconds
    Then 40 of 50 more are granted to streams under way, and none to others

  Scenario: A router whose issuer is silent is denied a retry in time
    Given 9 routers that share 50 retries in 10 seconds
    When the issuer falls silent while others ask
    Then nothing took longer than 0.17 seconds

  Scenario Outline: The next issuer gives out nothing of what the one before had
    Given 9 routers that share 100 retries in 10 seconds
    When the pool is used up and its issuer <ends>
    Then <most> or fewer are granted until a window later, and then most of the pool

    Examples:
      | ends         | most |
      | falls silent | 0    |
      | restarts     | 8    |

  Scenario: No window has too many, whatever is lost, late, cut off or restarted
    Then random routers keep the bound
