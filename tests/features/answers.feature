Feature: Answers to errors

  Scenario: Each error kind has one answer
    Then each error kind has an answer with its own event number

  Scenario: A message is unchanged after serializing and parsing
    When a digest is serialized and parsed
    Then the parsed message equals the digest

  Scenario: Settings with an unknown name are refused with its location
    When settings with the document {"instance_id": "a", "surprise": 1} are parsed
    Then the settings are refused at "$" with "surprise"

  Scenario: A large message is compressed and bounded
    Then a message of 100000 equal bytes is packed into less than 1000 and unpacked
    And a packed message that is truncated, unmarked or too large is refused
