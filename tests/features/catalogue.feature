Feature: Pages generated from the error kinds and events

  Scenario Outline: A generated page is up to date
    Then the page "<name>" equals the output of the catalogue

    Examples:
      | name      |
      | ERRORS.md |
      | EVENTS.md |
