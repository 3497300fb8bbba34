Feature: Host and longest prefix select the route

  Scenario Outline: <method> <host><path> is <route>
    Given routes by host and prefix
    Then "<method>" "<host>" "<path>" has the route "<route>"

    Examples:
      | method | host  | path       | route |
      | GET    | one   | /a/x       | a     |
      | POST   | one   | /a/x       | a     |
      | GET    | one   | /a/b/x     | ab    |
      | GET    | one   | /a/bc      | a     |
      | GET    | one   | /a         | none  |
      | GET    | one   | /          | none  |
      | GET    | two   | /a/x       | two   |
      | GET    | three | /a/x       | none  |
      | GET    | three | /any/x     | any   |
      | DELETE | three | /any/x     | none  |

  Scenario: A traffic split gives each service its share
    Given a route split 90 to 10
    When 2000 requests are split
    Then the second service gets between 150 and 250
