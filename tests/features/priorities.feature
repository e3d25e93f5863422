Feature: More urgent requests get capacity first, and no team takes all of it

  Scenario Outline: Decisions on random values
    Then <property>

    Examples:
      | property                                                  |
      | urgencies keep the order of priorities around the default |
      | one team is granted by objective and on time first        |
      | no priority and no team starves                           |
      | less urgent priorities get no more than their share       |
      | busy teams are served equally to within two requests      |
      | small requests behind many large ones are tried           |
      | a large request that small ones passed is granted         |
      | streams that resume go before new requests                |
      | forged or old news is ignored                             |
      | the number of news does not grow with the routers         |
      | less urgent requests get a share under pressure           |

  Rule: With a platform
    Background:
      Given a platform with two members of a plain service
      And runners of two replicas of the model

    Scenario Outline: Runners are told the urgency where priorities differ
      Given the priorities "<draft>" and "<batch>" of two routes, and "<team>" of the team
      When a caller requests a stream of "<route>"
      Then the status is 200
      And the first runners got the urgencies "<urgency>"

      Examples:
        | draft | batch | team | route | urgency |
        | 0     | 3     |      | draft | 4       |
        | 0     | 3     |      | batch | 6       |
        | 2     | 2     |      | draft | none    |
        | 0     | 3     | 1    | batch | none    |

    Scenario: A stream that resumes is one step more urgent
      Given the first stage of the first replica has the fault "reset"
      When a caller requests a stream
      Then the events are 0 to 5
      And the first runners got the urgencies "none, 4"

    Scenario Outline: Two priorities compete for too little capacity
      Given the priorities "<draft>" and "<batch>" of two routes, and "" of the team
      When each 0.1 seconds bring 3 draft and 9 batch streams
      Then <least> to <most> % of the draft streams begin on time

      Examples: equal priorities make urgent streams as late as the others
        | draft | batch | least | most |
        | 0     | 3     | 95    | 100  |
        | 1     | 1     | 0     | 60   |

    Scenario: A team that floods delays itself
      Given a second team
      When each 0.1 seconds bring 2 draft and 30 flood streams
      Then 95 to 100 % of the draft streams begin on time
      And 0 to 50 % of the flood streams begin on time

    Scenario Outline: Urgent requests at one router and others at another one
      Given the priorities "0" and "3" of two routes, and "" of the team
      And a router for each route, <link> news
      When each 0.1 seconds bring 3 draft and 18 batch streams
      Then <least> to <most> % of the draft streams begin on time

      Examples:
        | link    | least | most |
        | with    | 85    | 100  |
        | without | 0     | 50   |

    Scenario: The level lapses when the router that told of it has died
      Given the priorities "0" and "3" of two routes, and "" of the team
      And a router for each route, with news
      When the router of draft streams dies while they wait
      Then batch streams are held back for 0.5 seconds or less
