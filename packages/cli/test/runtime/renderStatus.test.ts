import { describe, test } from 'node:test'
import { expect } from 'earl'
import { renderStatus } from '../../src/runtime/renderStatus.js'
import { formatDuration } from '../../src/utils/formatDuration.js'

const NOW = Date.parse('2026-12-04T02:15:00Z')

const STATUS = {
  node: 'node-1',
  cell: 'winter',
  dataCentre: 'jm-south-1',
  state: 'serving',
  uptime: 7_500_000,
  problems: [
    { code: 'table-down', what: 'the table does not answer', since: 300_000, advice: 'requests are served on' },
    { code: 'list-down', what: 'the list does not answer', since: null, advice: '' }
  ],
  rules: { version: 3 },
  classes: [{ name: 'quick-check', priority: 75, askedBy: 'solvers\' panel', line: 7, waiting: 12 }],
  admission: {
    load: { slots: 24, free: 3 },
    books: {
      classes: [
        { name: 'standings', priority: 60, waiting: 1, oldest: 499, inUse: 0, meanTime: 15, p99Time: 15 },
        { name: 'quick-check', priority: 75, waiting: 12, oldest: 700, inUse: 9, meanTime: 25, p99Time: 140 }
      ],
      workers: [{ id: 'w1', state: 'usable' }, { id: 'w2', state: 'quarantined' }]
    }
  },
  fleet: { workers: 3, leaving: 1 },
  front: { address: '127.0.0.1:8080', inFlight: 21 }
}

describe('renderStatus', () => {
  test('lists problems first, with their start, the rule behind them and who asked for it', () => {
    expect(renderStatus(STATUS, NOW).split('\n')).toEqual([
      'WRONG (4, worst first):',
      '  table-down: the table does not answer, for 5 min, since 2026-12-04T02:10:00Z',
      '    requests are served on',
      '  list-down: the list does not answer',
      '  class-waits: 12 of class quick-check are waiting for free capacity on this node\'s workers, for 700 ms, since 2026-12-04T02:14:59Z',
      '    rule quick-check on line 7, asked for by solvers\' panel',
      '    work that would wait longer than its patience is refused as not run; raise the reserve or priority of the class, or add workers',
      '  worker-quarantined: worker w2 fails far more often than its peers and gets no work',
      '    the node retries it automatically; check the log of the worker, or have the platform replace it',
      '',
      'node         node-1, serving, up 2 h 5 min',
      'cell         winter, data centre jm-south-1',
      'rules        version 3',
      'callers      21 requests in flight at 127.0.0.1:8080',
      'workers      3 listed, 1 leaving',
      'owned slots  3 of 24 free',
      '',
      'CLASS        PRIORITY  WAITING  IN USE  MEAN   P99     ASKED FOR BY',
      'quick-check  75        12       9       25 ms  140 ms  line 7: solvers\' panel'
    ])
  })

  test('renders a status of an unknown shape without failing', () => {
    for (const answer of [null, [], {}, { problems: [3], classes: {}, admission: null }]) {
      expect(renderStatus(answer, NOW)).toEqual(expect.includes('node'))
    }
  })

  const durations: Array<[number, string]> = [[0, '0 ms'], [999, '999 ms'], [1000, '1 s'], [61_000, '1 min 1 s'], [3_600_000, '1 h'], [90_000_000, '1 d 1 h']]
  for (const [milliseconds, text] of durations) {
    test(`shows ${milliseconds} ms as ${text}`, () => {
      expect(formatDuration(milliseconds)).toEqual(text)
    })
  }
})
