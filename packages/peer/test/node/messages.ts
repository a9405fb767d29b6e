import type { Message } from '@rattanstep/core'

const ADDRESS = { host: '127.0.0.1', port: 7071 }
const RESOURCES = { slots: 1, cores: 0.5, memory: 256, accelerators: 0 }
const ANSWER = { status: 201, headers: [['content-type', 'text/plain']] as Array<[string, string]>, body: 'aGk=' }

/** At least one message of each kind, with optional fields both empty and set. */
export const EVERY_MESSAGE: Message[] = [
  {
    kind: 'heartbeat',
    version: 3,
    sentAt: 12.5,
    wantsPromise: true,
    countsBy: ['a@1', 'b@1'],
    rules: 2,
    load: { slots: 24, free: 3, waiting: [{ priority: 90, count: 4, wait: 12.5 }], service: 40 }
  },
  { kind: 'heartbeat', version: 0, sentAt: 0, wantsPromise: false, countsBy: [], rules: 0, load: null },
  { kind: 'promise', version: 3, sentAt: 12.5, granted: true },
  { kind: 'vote-request', holder: 'a@1', version: 3 },
  { kind: 'vote', holder: 'a@1', version: 3, granted: false },
  {
    kind: 'assignment',
    assignment: {
      version: 4,
      holders: [{ incarnation: 'a@1', dataCentre: 'north', peer: ADDRESS, draining: true }],
      owners: { 'worker/w1': 'a@1', 'shard/3': 'a@1' },
      voters: ['a@1'],
      nextVoters: ['a@1', 'b@1']
    }
  },
  { kind: 'assignment', assignment: { version: 0, holders: [], owners: {}, voters: [], nextVoters: null } },
  { kind: 'rules', version: 9, text: 'classes: [] # nobody\n' },
  { kind: 'fetch', what: 'rules' },
  {
    kind: 'ask',
    asks: [{ id: 'q1', class: 'quick', caller: 'team-7', team: '', resources: RESOURCES, patience: 900, waited: 0, avoid: ['w2'] }]
  },
  { kind: 'grant', grants: [{ ask: 'q1', permit: 'p1', worker: 'w1', address: ADDRESS, waited: 1.5, version: 4 }] },
  { kind: 'refuse', refusals: [{ ask: 'q1', reason: 'patience', retryAfter: 1200, redirect: 'b@1' }] },
  { kind: 'release', releases: [{ permit: 'p1', worker: 'w1', ending: 'completed', serviceTime: 41.25 }] },
  { kind: 'cancel', asks: ['q1'] },
  {
    kind: 'permits',
    version: 4,
    permits: [{ permit: 'p1', worker: 'w1', class: 'quick', caller: 'team-7', team: 'north', resources: RESOURCES, age: 12 }]
  },
  { kind: 'permits-request', version: 4, workers: ['w1'] },
  { kind: 'key-claim', id: 'c1', shard: 3, key: 'k', fingerprint: 'f', firstSent: 1_800_000_000_000 },
  { kind: 'key-verdict', id: 'c1', verdict: 'settled', outcome: 'run', answer: ANSWER },
  { kind: 'key-verdict', id: 'c2', verdict: 'first', outcome: 'unknown', answer: null },
  { kind: 'key-settle', shard: 3, key: 'k', claim: 'c1', fingerprint: 'f', outcome: 'run', answer: ANSWER },
  {
    kind: 'key-transfer',
    shard: 3,
    version: 5,
    epoch: 1_800_000_000_000,
    part: 0,
    parts: 2,
    entries: [
      { key: 'k', claim: 'c1', fingerprint: 'f', outcome: 'run', answer: ANSWER, age: 10 },
      { key: 'l', claim: 'c2', fingerprint: 'g', outcome: 'running', answer: null, age: 1 }
    ]
  },
  { kind: 'key-ack', id: 'c1' },
  { kind: 'job', id: 'j1', operation: 'hold', body: '{"a":1}' }
]
