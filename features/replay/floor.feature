Feature: Sound upstreams are not left idle while work is turned away

  An upstream that fails is avoided, and so gives no sign when its spell of
  failing is over. Where the others have no room, it is tried in time.

  Scenario Outline: <upstreams> upstreams, <percent> % of load, world <seed>: sound upstreams idle while work is refused
    Given <upstreams> upstreams that fail <failures> % in spells of <spell> s, well for <well> s between them, drawn from <seed>
    When <percent> % of what all their slots can do arrives, <again> % of it repeatable
    Then while work is turned away, no 2 s leave too many sound upstreams idle

    Examples: more work than the well ones can do
      | upstreams | failures | spell | well | percent | again | seed |
      | 30        | 85       | 9     | 21   | 60      | 0     | 1    |
      | 30        | 85       | 9     | 21   | 80      | 0     | 2    |
      | 30        | 85       | 9     | 21   | 100     | 10    | 3    |
      | 30        | 85       | 3     | 7    | 100     | 25    | 4    |
      | 6         | 85       | 9     | 21   | 100     | 25    | 6    |
      | 15        | 85       | 9     | 21   | 100     | 0     | 8    |

  Scenario Outline: Work that cannot be repeated finds upstreams that are well again, at <percent> % of load
    Given 30 upstreams that fail 85 % in spells of 9 s, well for 21 s between them, drawn from <seed>
    When <percent> % of what all their slots can do arrives, 0 % of it repeatable
    Then at least <served> % of the work is done

    Examples: a third of the upstreams in a spell leaves 70 % of the slots
      | percent | seed | served |
      | 60      | 1    | 90     |
      | 80      | 2    | 78     |
