Feature: Pages made from the closed lists

  Scenario Outline: A page is current
    Then the page "<name>" is what the catalogue renders

    Examples:
      | name      |
      | ERRORS.md |
      | EVENTS.md |
