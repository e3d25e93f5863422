Feature: Requests that upstreams die of

  Scenario: News of deaths merge in any order and twice
    Then 300 random orders of the same suspect news give the same state

  Scenario: Two suspects sent to one runner at once share its death
    Given suspects "a" and "b" that share deaths on "u1" and "u2"
    Then neither suspect is refused
    When "b" dies on "u3" alone
    Then only "b" is refused

  Scenario: A success clears a suspect
    Given suspects "a" and "b" with deaths on "u1"
    When "a" runs whole
    Then "b" is a suspect and "a" is none

  Scenario: A quarantine ends after its time and does not come back by gossip
    Given suspects "a" and "b" with deaths on "u1"
    When "b" dies on "u3" alone
    Then only "b" is refused
    When 601 seconds pass and the old news arrive again
    Then neither suspect is refused

  Scenario: A request that kills runners is refused after two, innocents finish
    Then 40 fuzzed schedules with fatal requests lose two runners a request at most

  Scenario Outline: Deaths of one failure domain at one moment are one
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

  Scenario: Deaths long after that of another upstream are two
    Given runners "u1" in "rajkot" and "u2" in "morbi" that run "a"
    When another upstream dies running "b", and 5 seconds later "u1" and "u2"
    Then "a" is refused: yes

  Scenario: Instances share no runner for their trials while there are enough
    Given 3 agents and 6 runners of one range in 3 failure domains
    Then each runner is left to one agent, and each has 2 in different domains
