import { test } from 'node:test'
import { expect } from 'earl'
import { EMPTY_ASSIGNMENT, FakeClock, KEY_SHARDS, Network, shardResource } from '@rattanstep/core'
import type { Assignment, Incarnation, KeyVerdictMessage, Message, StoredAnswer } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { KeyHome } from '../../src/index.js'

const TIMES = { window: 60_000, tolerance: 1000 }
const ANSWER: StoredAnswer = { status: 200, headers: [], body: 'x'.repeat(400) }

class RecordingNetwork extends Network {
  readonly sent: Message[] = []
  peer: KeyHome | null = null

  override addPeer (): void {}
  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.sent.push(message)
    if (to === 'other') this.peer?.receive('self', message)
  }
}

function assign (version: number, owner: Incarnation | null): Assignment {
  const shards = Array.from({ length: KEY_SHARDS }, (_, shard) => shardResource(shard))
  return { ...EMPTY_ASSIGNMENT, version, owners: owner === null ? {} : Object.fromEntries(shards.map(shard => [shard, owner])) }
}

class HomeFixture {
  readonly clock: FakeClock
  readonly network = new RecordingNetwork()
  readonly home: KeyHome
  assignment = EMPTY_ASSIGNMENT
  holdsLease = true

  constructor (self: Incarnation, clock = new FakeClock(), limits: { maxKeys?: number, maxAnswerBytes?: number } = {}) {
    this.clock = clock
    this.home = new KeyHome({ self, network: this.network, clock, log: new MemoryLog(), metrics: new Metrics(), times: TIMES, mayAdmit: () => this.holdsLease, ...limits })
  }

  applyAssignment (version: number, owner: Incarnation | null): this {
    const previous = this.assignment
    this.assignment = assign(version, owner)
    this.home.assignmentChanged(this.assignment, previous)
    return this
  }

  claim (id: string, key: string, changes: { firstSent?: number, fingerprint?: string } = {}): KeyVerdictMessage['verdict'] | null {
    const before = this.network.sent.length
    this.home.receive('front', { kind: 'key-claim', id, shard: 0, key, fingerprint: 'f', firstSent: 0, ...changes })
    const answer = this.network.sent.slice(before).find(message => message.kind === 'key-verdict')
    return answer?.kind === 'key-verdict' ? answer.verdict : null
  }

  settle (claim: string, key: string, outcome: 'run' | 'not-run' | 'unknown', answer: StoredAnswer | null = null): boolean {
    const before = this.network.sent.length
    this.home.receive('front', { kind: 'key-settle', shard: 0, key, claim, fingerprint: 'f', outcome, answer })
    return this.network.sent.slice(before).some(message => message.kind === 'key-ack' && message.id === claim)
  }
}

/** Creates a home that has seen every version of the assignment and is the first owner of all shards. */
function firstHome (limits = {}): HomeFixture {
  return new HomeFixture('self', new FakeClock(), limits).applyAssignment(1, 'self')
}

/** Creates a home that took all shards over from a failed node `SINCE_TAKEOVER_MS` ago, without their keys. */
function homeAfterTakeover (): HomeFixture {
  const home = new HomeFixture('self').applyAssignment(4, 'gone').applyAssignment(5, 'self')
  home.clock.tick(SINCE_TAKEOVER_MS)
  return home
}

const SINCE_TAKEOVER_MS = 3 * TIMES.tolerance

test('a request with a key runs once, and its repeats get its outcome and answer', () => {
  const home = firstHome()
  expect(home.claim('c1', 'k')).toEqual('first')
  expect(home.claim('c1', 'k')).toEqual('first')
  expect(home.claim('c2', 'k')).toEqual('running')
  expect(home.claim('c3', 'k', { fingerprint: 'other' })).toEqual('clash')
  expect(home.settle('c1', 'k', 'run', ANSWER)).toEqual(true)
  expect(home.claim('c4', 'k')).toEqual('settled')
  expect(home.network.sent.at(-1)).toEqual({ kind: 'key-verdict', id: 'c4', verdict: 'settled', outcome: 'run', answer: ANSWER })
})

test('only the claim that holds a key frees it, and a delayed copy of a freed claim does not take the key', () => {
  const home = firstHome()
  home.claim('c1', 'k')
  home.settle('c1', 'k', 'not-run')
  expect(home.claim('c1', 'k')).toEqual(null)
  expect(home.claim('c2', 'k')).toEqual('first')
  home.settle('c1', 'k', 'not-run')
  expect(home.claim('c3', 'k')).toEqual('running')
})

test('a claim that arrives after its settle with not-run does not take the key', () => {
  const home = firstHome()
  expect(home.settle('c1', 'k', 'not-run')).toEqual(true)
  expect(home.claim('c1', 'k')).toEqual(null)
  expect(home.claim('c2', 'k')).toEqual('first')
})

const AGES: Array<{ name: string, home: () => HomeFixture, firstSent: (wall: number) => number, verdict: string }> = [
  { name: 'a key of unknown age in a cell that never had another home', home: firstHome, firstSent: () => 0, verdict: 'first' },
  { name: 'a key that is too old to be repeated', home: firstHome, firstSent: wall => wall - TIMES.window - 1, verdict: 'forgotten' },
  { name: 'a key at the end of the window', home: firstHome, firstSent: wall => wall - TIMES.window, verdict: 'first' },
  { name: 'a key from the future beyond the tolerance', home: firstHome, firstSent: wall => wall + TIMES.tolerance + 1, verdict: 'forgotten' },
  { name: 'a key of unknown age after a takeover', home: homeAfterTakeover, firstSent: () => 0, verdict: 'forgotten' },
  { name: 'a key first sent within two tolerances after a takeover', home: homeAfterTakeover, firstSent: wall => wall - SINCE_TAKEOVER_MS + 2 * TIMES.tolerance, verdict: 'forgotten' },
  { name: 'a key first sent later than two tolerances after a takeover', home: homeAfterTakeover, firstSent: wall => wall - SINCE_TAKEOVER_MS + 2 * TIMES.tolerance + 1, verdict: 'first' }
]

for (const { name, home, firstSent, verdict } of AGES) {
  test(`${name} gets ${verdict}`, () => {
    const fixture = home()
    expect(fixture.claim('c1', 'k', { firstSent: firstSent(fixture.clock.wall()) })).toEqual(verdict as never)
  })
}

test('a key of unknown age may run again once the window has passed after a takeover', () => {
  const home = homeAfterTakeover()
  home.clock.tick(TIMES.window)
  expect(home.claim('c1', 'k')).toEqual('first')
})

test('a node that skipped versions of the assignment does not assume that it was the home throughout', () => {
  const home = firstHome()
  home.claim('c1', 'k1')
  home.applyAssignment(3, 'self')
  home.clock.tick(600)
  expect(home.claim('c2', 'k2')).toEqual('forgotten')
  expect(home.claim('c3', 'k1')).toEqual('running')
})

test('a home without a lease answers not-home', () => {
  const home = firstHome()
  home.holdsLease = false
  expect(home.claim('c1', 'k')).toEqual('not-home')
})

function transfer (version: number): Message {
  return { kind: 'key-transfer', shard: 0, version, epoch: 0, part: 0, parts: 1, entries: [] }
}

const TRANSFERS = [
  { name: 'that belongs to this move', version: 5, verdict: 'first' },
  { name: 'that belongs to an earlier move', version: 3, verdict: 'forgotten' },
  { name: 'that never arrives', version: null, verdict: 'forgotten' }
]

for (const { name, version, verdict } of TRANSFERS) {
  test(`after a move, with a transfer ${name}, claims wait, and then a new key gets ${verdict}`, () => {
    const home = new HomeFixture('self').applyAssignment(2, 'other').applyAssignment(3, 'self').applyAssignment(4, 'other').applyAssignment(5, 'self')
    expect(home.claim('c1', 'k')).toEqual(null)
    if (version !== null) home.home.receive('other', transfer(version))
    home.clock.tick(600)
    expect(home.claim('c1', 'k')).toEqual(verdict as never)
  })
}

test('a planned move hands over every key, in several parts and although messages are lost', () => {
  const clock = new FakeClock()
  const from = new HomeFixture('self', clock).applyAssignment(1, 'self')
  const to = new HomeFixture('other', clock).applyAssignment(1, 'self')
  for (let number = 0; number < 3000; number++) from.claim(`c${number}`, `k${number}`)
  from.settle('c7', 'k7', 'run', ANSWER)
  from.applyAssignment(2, 'other')
  expect(from.home.isHandedOver).toEqual(false)
  to.applyAssignment(2, 'other')
  from.network.peer = to.home
  clock.tick(150)
  expect(from.network.sent.filter(message => message.kind === 'key-transfer').length).toBeGreaterThan(2)
  expect(to.claim('d7', 'k7')).toEqual('settled')
  expect(to.claim('d8', 'k8')).toEqual('running')
  expect(to.claim('d9', 'new')).toEqual('first')
  for (const message of to.network.sent) from.home.receive('other', message)
  expect(from.home.isHandedOver).toEqual(true)
})

test('a full home accepts no further key, and evicts the least recently used answers but not their keys', () => {
  const home = firstHome({ maxKeys: 3, maxAnswerBytes: 1000 })
  for (const number of [1, 2, 3]) {
    expect(home.claim(`c${number}`, `k${number}`)).toEqual('first')
    home.settle(`c${number}`, `k${number}`, 'run', { ...ANSWER })
  }
  expect(home.claim('c4', 'k4')).toEqual('full')
  const answers = [1, 2, 3].map(number => {
    expect(home.claim(`d${number}`, `k${number}`)).toEqual('settled')
    const last = home.network.sent.at(-1)
    return last?.kind === 'key-verdict' && last.answer !== null
  })
  expect(answers).toEqual([false, true, true])
  home.clock.tick(TIMES.window + 2 * TIMES.tolerance + 1)
  expect(home.claim('c5', 'k5')).toEqual('first')
})
