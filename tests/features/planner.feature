Feature: The planner places layers through orders that two planners can't cross

  Scenario: A platform with empty runners gets its layers placed
    Given a platform with empty runners in two domains
    When a router leads for 3 seconds
    Then each domain's runners were ordered to hold every layer once
    And a draft is served

  Scenario: Of two routers one gives the orders
    Given a platform with empty runners in two domains
    When two routers run for 4 seconds
    Then no runner got more than one order

  Scenario: The lead passes on when its holder is gone
    Given a platform with empty runners in two domains
    And another router has held the lead and is gone
    When a router leads for 6 seconds
    Then each domain's runners were ordered to hold every layer once

  Scenario: A runner that holds more than the list says gets no order by the old count
    Given a platform with empty runners in two domains
    And one runner has taken an order that the list does not show
    When a router leads for 3 seconds
    Then that runner got no order
