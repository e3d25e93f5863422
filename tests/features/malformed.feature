Feature: Malformed, endless and stalled input costs one request, not the process

  Scenario Outline: A caller's header that is no number is refused by its name
    Given a platform with two members of a plain service
    When a caller sends a "status" request whose header <header> is "<value>"
    Then the status is 400
    And the response names "<header>"
    And no upstream started a request

    Examples:
      | header                         | value       |
      | wigeondrift-deadline-remaining | 5000 digits |
      | wigeondrift-deadline-remaining | 400 digits  |
      | wigeondrift-deadline-remaining | soon        |
      | wigeondrift-token-counts       | 5000 digits |
      | wigeondrift-token-counts       | 400 digits  |
      | last-event-id                  | 5000 digits |

  Scenario Outline: A request with an unusual method gets an answer
    Given a platform with two members of a plain service
    When a caller sends a <method> request to "<path>"
    Then the status is <status>
    And the response is complete

    Examples:
      | method  | path      | status |
      | HEAD    | /nowhere/ | 404    |
      | HEAD    | /status/  | 401    |
      | CONNECT | /nowhere/ | 404    |

  Scenario Outline: An upstream's answer without an end is given up
    Given an upstream that answers with <answer>
    When a client requests a page of it
    Then the client fails and has used at most 3 times its limit of memory

    Examples:
      | answer                        |
      | an endless status line        |
      | an endless header             |
      | endless interim responses     |
      | an endless chunk extension    |
      | an endless body               |
      | an endless header name        |
      | endless header lines          |
      | endless blank lines           |
      | an endless chunk size         |
      | an endless trailer            |
      | an endless body with a length |

  Scenario: Many endless answers at once leave memory, and other answers get through
    Given 40 upstreams that answer with an endless body, and one with a page
    When a client requests a page of each
    Then the client gets the page and an error of each other one
    And it has used less than 48 MB

  Scenario Outline: A response header with a very long number is ignored
    Given an upstream that answers with <answer>
    When a client requests a page of it
    Then the client gets the page

    Examples:
      | answer                        |
      | a very long keep-alive time   |

  Scenario Outline: Event data without a new id is bounded
    Then an event stream of <data> fails after at most 65536 bytes

    Examples:
      | data                          |
      | one endless event             |
      | endless comments              |
      | an id of 5000 digits          |

  Scenario: Events are found wherever the data is split
    Then random events in random pieces come out complete and in order

  Scenario: A stream whose runner sends bytes but no events goes on elsewhere
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    And the first stage of the first replica has the fault "dribble"
    When a caller requests a stream
    Then the events are 0 to 5
    And the response is complete

  Scenario Outline: An entry that names no usable upstream is reported
    Then the entry <entry> is not decoded

    Examples:
      | entry                                                              |
      | {"service":"a","address":"h:²","zone":"z","state":"ready"}         |
      | {"service":"a","address":"h:99999999","zone":"z","state":"ready"}  |
      | {"service":"a","address":":80","zone":"z","state":"ready"}         |
      | layers from -5                                                     |
      | layers to 1e30                                                     |
      | arrays nested 20000 deep                                           |

  # Guards against requests and answers that fail for a byte that HTTP allows.
  Scenario Outline: A header with a byte above 0x7f is passed on
    Given a platform with two members of a plain service
    And both members send the header "x-note" of "café"
    When a caller sends a "<route>" request that has the header x-name "café"
    Then the status is 200
    And both got the other's header

    Examples:
      | route  |
      | status |
      | order  |

  # Guards against an idle connection that two requests are sent on.
  Scenario: Idle connections that are closed and used at once serve one request each
    Then 200 rounds of requests beside the closing of idle connections share none

  # Guards against one odd entry that fails the requests of a whole service.
  Scenario Outline: An odd entry among those of the upstreams harms no request
    Given a platform with two members of a plain service
    And runners of two replicas of the model
    When an entry of a <upstream> with <oddity> is listed, and then changes again
    And 6 requests of each kind are sent
    Then all of them are complete, and no task or request has failed unexpectedly
    And the entry names no upstream

    Examples:
      | upstream | oddity                       |
      | member   | the port 70000               |
      | member   | the port -1                  |
      | member   | the port 0                   |
      | member   | the port " 80"               |
      | member   | a host with a long label     |
      | member   | a host with a line break     |
      | member   | an empty host                |
      | member   | slots of 400 digits          |
      | member   | a start of 400 digits        |
      | member   | a negative start             |
      | member   | other fields nested deeply   |
      | member   | an id that is no header      |
      | runner   | the port 70000               |
      | runner   | layers nested deeply         |
      | runner   | a start of 400 digits        |
      | runner   | a weights version of 400 digits |
      | runner   | slots of 400 digits          |
      | runner   | an id that is no header      |
      | runner   | bytes that are no text       |

  Scenario: A task that fails is started again, and the others go on
    Given an application with a task that fails twice
    When it runs for 1 second
    Then the task was started 3 times and the other task ran on

  Scenario: A timer's callback that fails is called again, and the others go on
    Given a timer with a callback that fails
    When it runs for 1 second
    Then each callback was called 10 times
