Feature: The planner places layers with orders that two planners can't both send

  Scenario: A platform with empty runners gets its layers placed
    Given a platform with empty runners in two domains
    When a router leads for 3 seconds
    Then each domain's runners were ordered to hold every layer once
    And a draft is served

  Scenario: Only one of two routers sends orders
    Given a platform with empty runners in two domains
    When two routers run for 4 seconds
    Then no runner got more than one order

  Scenario: Leadership passes to another router when the leader is gone
    Given a platform with empty runners in two domains
    And another router was the leader and is gone
    When a router leads for 6 seconds
    Then each domain's runners were ordered to hold every layer once

  Scenario: A runner with an order that the list lacks gets none based on the old count
    Given a platform with empty runners in two domains
    And one runner has accepted an order that the list does not show
    When a router leads for 3 seconds
    Then that runner got no order

  Scenario: A leader keeps no connections to the runners that it has ordered
    Given a platform with empty runners in two domains
    When a router leads for 3 seconds
    Then each domain's runners were ordered to hold every layer once
    And the router has no idle connection to a runner
