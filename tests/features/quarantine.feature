Feature: Quarantine of poison requests

  Scenario: Facts about deaths merge in any order and more than once
    Then 300 random orders of the same suspect messages give the same state

  Scenario: Two suspects sent to one runner at once share its death
    Given suspects "a" and "b" that share deaths on "u1" and "u2"
    Then neither suspect is refused
    When "u3" dies while it runs only "b"
    Then only "b" is refused

  Scenario: A success clears a suspect
    Given suspects "a" and "b" with deaths on "u1"
    When "a" runs to its end
    Then "b" is a suspect and "a" is not

  Scenario: A quarantine expires and is not revived by gossip
    Given suspects "a" and "b" with deaths on "u1"
    When "u3" dies while it runs only "b"
    Then only "b" is refused
    When 601 seconds pass and the old messages arrive again
    Then neither suspect is refused

  Scenario: A poison request is refused after two lost runners, other requests finish
    Then 40 fuzzed schedules with poison requests lose at most two runners per request

  Scenario Outline: Simultaneous deaths in one failure domain count as one
    Given runners "u1" in "rajkot" and "u2" in "<domain>" that run "a"
    When "u1" dies and "u2" <seconds> seconds later
    Then "a" is refused: <refused>

    Examples:
      | domain | seconds | refused |
      | rajkot | 0.1     | no      |
      | rajkot | 0.6     | yes     |
      | morbi  | 0.1     | yes     |

  Scenario: Deaths at one moment in two failure domains, beside a third, are one
    Given runners "u1" in "rajkot" and "u2" in "morbi" that run "a"
    When another upstream dies running "b", and 0.1 seconds later "u1" and "u2"
    Then "a" is refused: no

  Scenario: Deaths beside that of a request which did not complete count as two
    Given runners "u1" in "rajkot" and "u2" in "morbi" that run "a"
    When another upstream dies running only "b", and 0.1 seconds later "u1" and "u2"
    Then "a" is refused: yes

  Scenario: Deaths long after that of another upstream count as two
    Given runners "u1" in "rajkot" and "u2" in "morbi" that run "a"
    When another upstream dies running "b", and 5 seconds later "u1" and "u2"
    Then "a" is refused: yes

  Scenario: Instances use different runners for trials while there are enough
    Given 3 agents and 6 runners of one range in 3 failure domains
    Then each runner is assigned to one agent, and each has 2 in different domains
