Feature: Platform names, requirements and the deploy file match the code

  Scenario: Only the adapter contains names of the users' platform
    Then no module outside wigeondrift/platform contains a header, path or key of it

  Scenario: The router's requirements are those of the package
    Then each line of requirements.txt occurs in pyproject.toml
    And the router imports nothing beyond requirements.txt

  Scenario: The deploy file names programs that exist
    Then deploy/system.toml runs modules of the package
