Feature: Routes over stages

  Scenario: A route covers all layers exactly once over ranges that overlap
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 6   | rajkot |
      | b    | 4     | 10  | rajkot |
      | c    | 9     | 12  | morbi  |
    When a route over 12 layers is planned
    Then the route covers 12 layers exactly once
    And the route's runners are "a b c"

  Scenario: A runner that another covers in part runs a part of its range
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 8   | rajkot |
      | b    | 4     | 12  | rajkot |
    When a route over 12 layers is planned
    Then the route covers 12 layers exactly once

  Scenario: There is no route if no runner holds some layer
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 6   | rajkot |
      | b    | 7     | 12  | rajkot |
    When a route over 12 layers is planned
    Then there is no route

  Scenario: Two versions never share a route
    Given a fleet of runners
      | name | first | end | domain | version |
      | a    | 0     | 6   | rajkot | v1      |
      | b    | 6     | 12  | rajkot | v2      |
    When a route over 12 layers is planned
    Then there is no route

  Scenario: Excluded, leaving and disallowed runners are never chosen
    Given a fleet of runners
      | name | first | end | domain | state   |
      | a    | 0     | 12  | rajkot | live    |
      | b    | 0     | 12  | rajkot | leaving |
      | c    | 0     | 12  | morbi  | live    |
      | d    | 0     | 12  | rajkot | live    |
    And the row allows the failure domains "rajkot"
    When a route over 12 layers is planned 50 times without "a"
    Then only "d" was chosen

  Scenario: A leave mark counts before the list's revision changes
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 12  | rajkot |
      | b    | 0     | 12  | rajkot |
    When a route over 12 layers is planned
    And runner "a" gets a leave mark
    And a route over 12 layers is planned 50 times without ""
    Then only "b" was chosen

  Scenario: A slow link is learned and bypassed
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 6   | rajkot |
      | b    | 6     | 12  | morbi  |
      | c    | 6     | 12  | jamnagar |
    When the link from "rajkot" to "morbi" takes 400 ms and the others 1 ms
    Then routes converge to "a c"

  Scenario: Many sends between two reports spread over equal runners
    Given a fleet of 10 equal runners with one old report each
    When 200 requests start without a new report
    Then no runner has more than 26 requests

  Scenario: A prompt returns to the runner with its cached prefix unless that one is full
    Given a fleet of 10 equal runners with one old report each
    When a prompt is planned 20 times
    Then the prompt's routes were all the same
    When 8 requests start at the prompt's runner
    And a prompt is planned 20 times
    Then the prompt's runner was not chosen

  Scenario: A runner that failed is avoided until it is the only one
    Given a fleet of runners
      | name | first | end | domain |
      | a    | 0     | 12  | rajkot |
      | b    | 0     | 12  | rajkot |
    When runner "a" failed
    And a route over 12 layers is planned 50 times without ""
    Then only "b" was chosen
    When a route over 12 layers is planned 50 times without "b"
    Then only "a" was chosen

  Scenario: Any exact cover that exists is found
    Then 2000 random fleets have a route exactly when their ranges cover the layers
