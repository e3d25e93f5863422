Feature: The layout keeps the platform's words and the deploy file in place

  Scenario: Names of the users' platform stand in the adapter alone
    Then no module outside wigeondrift/platform names a header, path or key of it

  Scenario: The router's requirements are those of the package
    Then each line of requirements.txt stands in pyproject.toml
    And the router imports nothing beyond requirements.txt

  Scenario: The deploy file names programs that exist
    Then deploy/system.toml runs modules of the package
