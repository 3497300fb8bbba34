Feature: Work stays near while there is room, and leaves in proportion

  Requests have a target latency of 1.5 s, and runs take 300 ms.

  Scenario: Work stays in its zone while there is room
    Given an entry before 4 upstreams in each of six zones
    And answers of 1500 bytes
    When requests that cannot be repeated are placed
    Then all are placed in "north-1"

  Scenario: A zone that fills up spills to its region before it refuses
    Given an entry before 4 upstreams in each of six zones
    And answers of 1500 bytes
    And all upstreams of "north-1" are full with a wait of 50 ms
    When requests that cannot be repeated are placed
    Then all are placed in "north-2"
    When all upstreams of "north-1" have 4 free slots
    And requests that cannot be repeated are placed
    Then all are placed in "north-1"

  Scenario: A region that is full spills to the others, and work comes back
    Given an entry before 4 upstreams in each of six zones
    And answers of 1500 bytes
    And all upstreams of "north" are full with a wait of 200 ms
    When requests that cannot be repeated are placed
    Then none are placed in "north"
    And each upstream of "east-1" gets 2 to 12 % of them
    And each upstream of "south-2" gets 2 to 12 % of them
    When all upstreams of "north-1" have 4 free slots
    And requests that cannot be repeated are placed
    Then all are placed in "north-1"

  Scenario: Large answers stay in their region while it has any room
    Given an entry before 4 upstreams in each of six zones
    And answers of 90000 bytes
    And all upstreams of "north" are full with a wait of 200 ms
    When requests that can be repeated are placed
    Then all are placed in "north"

  Scenario: Large answers leave a region where they would be late
    Given an entry before 4 upstreams in each of six zones
    And answers of 90000 bytes
    And all upstreams of "north" are full with a wait of 1200 ms
    When requests that can be repeated are placed
    Then none are placed in "north"

  Scenario: Large answers leave a region that cannot be reached
    Given an entry before 4 upstreams in each of six zones
    And answers of 90000 bytes
    And the upstreams of "north" cannot be reached
    When requests that can be repeated are placed
    Then none are placed in "north"
    And at least 25 % are placed in "east"
    And at least 25 % are placed in "south"

  Scenario: A zone that cannot be reached is replaced by its region
    Given an entry before 4 upstreams in each of six zones
    And answers of 1500 bytes
    And the upstreams of "north-1" cannot be reached
    When requests that cannot be repeated are placed
    Then all are placed in "north-2"

  Scenario: A second copy of a large answer stays in the region
    Given an entry before 4 upstreams in each of six zones
    And answers of 90000 bytes
    Then a second copy of a request at "north-1-0" goes to "north-1"

  Scenario: Large answers do not test upstreams of other regions
    Given an entry before 4 upstreams in each of six zones
    And answers of 90000 bytes
    And the upstreams of "east" likely fail
    When requests that can be repeated are placed
    Then all are placed in "north-1"

  Scenario: Small answers test upstreams of other regions
    Given an entry before 4 upstreams in each of six zones
    And answers of 200 bytes
    And the upstreams of "east" likely fail
    When requests that can be repeated are placed
    Then at least 15 % are placed in "east"

  Scenario: Old reports send no herd to the upstream that was the fastest
    Given an entry before 4 upstreams in each of six zones
    And the upstreams "0" in "north-1" take 2 times as long
    And the last reports are 3 s old
    When requests that cannot be repeated are placed
    Then "1" in "north-1" gets 15 to 45 % of those in its zone
    And "2" in "north-1" gets 15 to 45 % of those in its zone
    And "3" in "north-1" gets 15 to 45 % of those in its zone

  Scenario: Work that cannot be repeated finds the one upstream that is well
    Given an entry before 4 upstreams in each of six zones
    And answers of 1500 bytes
    And all upstreams but one of "north-1" have a risk of 0.2
    When requests that cannot be repeated are placed
    Then "3" in "north-1" gets 95 to 100 % of those in its zone
    And at least 95 % are placed in "north-1"

  Scenario: An upstream that takes longer gets less work
    Given an entry before 4 upstreams in each of six zones
    And the upstreams "0" in "north-1" take 2 times as long
    When requests that cannot be repeated are placed
    Then "0" in "north-1" gets 0 to 10 % of those in its zone

  Scenario: An upstream that has just joined gets little work until it reports
    Given an entry before 4 upstreams in each of six zones
    And an upstream joins "north-1"
    When requests that cannot be repeated are placed
    Then "new" in "north-1" gets 1 to 15 % of those in its zone

  Scenario: A slow way costs what was measured on it
    Given an entry before 4 upstreams in each of six zones
    And all upstreams of "north-1" are full with a wait of 200 ms
    And a round trip to "north-2" takes 400 ms
    When requests that cannot be repeated are placed
    Then none are placed in "north-2"

  Scenario: With one region the choice is that of least-risk
    Given an entry before 4 upstreams in each of six zones of one region
    Then the choices are those of "least-risk" from the same random numbers

  Scenario: Demand that swings out of phase
    Given 4 VMs in each of six zones, whose demand swings by 60 % around 70 % of the capacity of each, out of phase
    When the day is replayed with "nearest" and "even" subsets
    Then work leaves zones at their crests, and regions hardly at troughs
    And at least 80 % of the copies stay in the region
    And at least 99 % of the requests are answered in time
    And a request is sent 1.6 times at most on average

  Scenario: Upstreams of unequal speed
    Given 4 VMs in each of six zones, whose demand swings by 30 % around 40 % of the capacity of each, out of phase
    And every other upstream takes 3 times as long
    When the day is replayed with "nearest" and "even" subsets
    Then at least 97 % of the requests are answered in time

  Scenario: A zone is lost
    Given 4 VMs in each of six zones, whose demand swings by 30 % around 60 % of the capacity of each, out of phase
    And the upstreams of "east-1" leave after 4 s
    When the day is replayed with "nearest" and "even" subsets
    Then at least 98 % of the requests are answered in time

  Scenario: A region is lost
    Given 4 VMs in each of six zones, whose demand swings by 30 % around 50 % of the capacity of each, out of phase
    And the upstreams of "east" leave after 4 s
    When the day is replayed with "nearest" and "even" subsets
    Then at least 97 % of the requests are answered in time

  Scenario: On the platform, zones of several regions switch it on
    When the platform's configuration is loaded with zones of 3 regions
    Then all services have the balancer "nearest" and "even" subsets
    When the platform's configuration is loaded with zones of 1 regions
    Then all services have the balancer "least-risk" and "rendezvous" subsets
