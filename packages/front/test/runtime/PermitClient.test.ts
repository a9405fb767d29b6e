import { test } from 'node:test'
import { expect } from 'earl'
import { EMPTY_ASSIGNMENT, FakeClock, Network, PERMIT_VALIDITY_MS, SeededRandom } from '@rattanstep/core'
import type { Ask, Assignment, Grant, Incarnation, Message, RefusalReason, Result } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { PermitClient } from '../../src/index.js'
import type { Placement } from '../../src/index.js'

class SentMessages extends Network {
  readonly sent: Array<{ to: Incarnation, message: Message }> = []

  override addPeer (): void {}
  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.sent.push({ to, message })
  }

  /** @returns the messages that were sent since the last call, each as `receiver kind detail` */
  take (): string[] {
    return this.sent.splice(0).map(({ to, message }) => `${to} ${describe(message)}`)
  }
}

function describe (message: Message): string {
  if (message.kind === 'ask') return `ask ${message.asks.map(ask => `${ask.id}/${ask.patience}`).join()}`
  if (message.kind === 'release') return `release ${message.releases.map(release => `${release.permit} ${release.ending}`).join()}`
  if (message.kind === 'cancel') return `cancel ${message.asks.join()}`
  if (message.kind === 'permits') return `permits v${message.version} ${message.permits.map(permit => permit.permit).join()}`
  return message.kind
}

const ASK: Ask = {
  id: 'r1.1',
  class: 'checks',
  caller: 'c',
  team: '',
  resources: { slots: 1, cores: 1, memory: 1, accelerators: 0 },
  patience: 900,
  waited: 0,
  avoid: []
}

function assign (version: number, owners: Assignment['owners']): Assignment {
  const holders = ['A', 'B'].map(incarnation => ({ incarnation, dataCentre: 'd', peer: { host: '', port: 0 }, draining: false }))
  return { ...EMPTY_ASSIGNMENT, version, holders, owners }
}

function setUp (free: Record<Incarnation, number> = { A: 4, B: 0 }) {
  const clock = new FakeClock()
  const network = new SentMessages()
  const state = { assignment: assign(3, { 'worker/w1': 'A', 'worker/w2': 'B' }) }
  const permits = new PermitClient({
    // The node asks itself first while it has room.
    self: 'A',
    network,
    clock,
    random: new SeededRandom(7),
    log: new MemoryLog(),
    metrics: new Metrics(),
    owners: () => Object.entries(free).map(([incarnation, slots]) => ({
      incarnation,
      age: 0,
      dataCentre: 'd',
      load: { slots: 8, free: slots, waiting: [], service: 10 }
    })),
    priorityOf: () => 50,
    assignment: () => state.assignment
  })
  return { clock, network, permits, state }
}

function grant (permit: string, changes: Partial<Grant> = {}): Message {
  const address = { host: '127.0.0.1', port: 1 }
  return { kind: 'grant', grants: [{ ask: 'r1.1', permit, worker: 'w1', address, waited: 0, version: 3, ...changes }] }
}

function refuse (reason: RefusalReason, redirect = ''): Message {
  return { kind: 'refuse', refusals: [{ ask: 'r1.1', reason, retryAfter: 70, redirect }] }
}

async function ask (fixture: ReturnType<typeof setUp>, signal = new AbortController().signal): Promise<{ result: () => Result<Placement, { reason: string }> | null }> {
  let result: Result<Placement, { reason: string }> | null = null
  fixture.permits.acquire(ASK, signal).then(value => { result = value }, () => {})
  await fixture.clock.advance(0)
  return { result: () => result }
}

test('the validity of a grant starts when the ask was sent, plus the wait that the owner reports', async () => {
  const fixture = setUp()
  const asked = await ask(fixture)
  expect(fixture.network.take()).toEqual(['A ask r1.1/900'])
  await fixture.clock.advance(300)
  fixture.permits.receive('A', grant('p1', { waited: 120 }))
  await fixture.clock.advance(0)
  const placement = asked.result()!.unwrap()
  expect([placement.owner, placement.worker, placement.validUntil]).toEqual(['A', 'w1', 120 + PERMIT_VALIDITY_MS])
  expect(fixture.permits.active().map(permit => [permit.permit, permit.age])).toEqual([['p1', 180]])
  fixture.permits.release(placement, 'completed', 5)
  fixture.permits.release(placement, 'completed', 5)
  await fixture.clock.advance(0)
  expect(fixture.network.take()).toEqual(['A release p1 completed'])
  expect(fixture.permits.active()).toEqual([])
})

const LATE_GRANTS = [
  { name: 'a grant that arrives after its ask was cancelled', from: 'A', before: [] },
  { name: 'a grant from an owner that was not asked', from: 'B', before: [] },
  { name: 'a second permit for an ask that already has one', from: 'A', before: [grant('p0')] }
]

for (const { name, from, before } of LATE_GRANTS) {
  test(`${name} is given back unsent and not used`, async () => {
    const fixture = setUp()
    const abortController = new AbortController()
    const asked = await ask(fixture, abortController.signal)
    for (const message of before) fixture.permits.receive('A', message)
    if (before.length === 0 && from === 'A') abortController.abort()
    await fixture.clock.advance(0)
    fixture.network.take()
    fixture.permits.receive(from, grant('p1'))
    await fixture.clock.advance(0)
    expect(fixture.network.take()).toEqual([`${from} release p1 unsent`])
    expect(fixture.permits.active().some(permit => permit.permit === 'p1')).toEqual(false)
    expect(asked.result()?.unwrapOr(null)?.permit).not.toEqual('p1')
  })
}

test('a duplicate grant of a permit in use is neither given back nor used twice', async () => {
  const fixture = setUp()
  await ask(fixture)
  fixture.permits.receive('A', grant('p1'))
  fixture.network.take()
  fixture.permits.receive('A', grant('p1'))
  await fixture.clock.advance(0)
  expect(fixture.network.take()).toEqual([])
  expect(fixture.permits.active().length).toEqual(1)
})

const REFUSALS: Array<{ message: Message, free: Record<string, number>, next: string[], reason: string | null }> = [
  { message: refuse('patience', 'B'), free: { A: 4, B: 0 }, next: ['A cancel r1.1', 'B ask r1.1/900'], reason: null },
  { message: refuse('not-owner'), free: { A: 4, B: 0 }, next: ['A cancel r1.1', 'B ask r1.1/900'], reason: null },
  { message: refuse('queue-full'), free: { A: 4, B: 0 }, next: [], reason: 'queue-full' },
  { message: refuse('quota'), free: { A: 4, B: 4 }, next: [], reason: 'quota' },
  { message: refuse('draining'), free: { A: 4 }, next: [], reason: 'draining' }
]

for (const { message, free, next, reason } of REFUSALS) {
  test(`${describe(message)} ${JSON.stringify(message)} with free slots ${JSON.stringify(free)} sends [${next.join('; ')}]`, async () => {
    const fixture = setUp(free)
    const asked = await ask(fixture)
    fixture.network.take()
    fixture.permits.receive('A', message)
    await fixture.clock.advance(0)
    expect(fixture.network.take()).toEqual(next)
    expect(asked.result()?.isErr() === true ? asked.result()!.unwrapErr().reason : null).toEqual(reason)
  })
}

test('an unanswered ask is sent again, and cancelled when its patience has passed', async () => {
  const fixture = setUp()
  const asked = await ask(fixture)
  await fixture.clock.advance(600)
  expect(fixture.network.take()).toEqual(['A ask r1.1/900', 'A ask r1.1/400'])
  await fixture.clock.advance(400)
  expect(fixture.network.take()).toEqual(['A cancel r1.1'])
  expect(asked.result()!.unwrapErr().reason).toEqual('patience')
})

const TAKEOVERS = [
  {
    name: 'the front has learned of the new owner',
    learn: (fixture: ReturnType<typeof setUp>) => {
      const previous = fixture.state.assignment
      fixture.state.assignment = assign(4, { 'worker/w1': 'B', 'worker/w2': 'B' })
      fixture.permits.assignmentChanged(fixture.state.assignment, previous)
    }
  },
  {
    name: 'the front has reported its permits to the new owner',
    learn: (fixture: ReturnType<typeof setUp>) => {
      fixture.permits.receive('B', { kind: 'permits-request', version: 4, workers: ['w1'] })
    }
  }
]

for (const { name, learn } of TAKEOVERS) {
  test(`a grant from the previous owner is not used after ${name}`, async () => {
    const fixture = setUp()
    const asked = await ask(fixture)
    learn(fixture)
    await fixture.clock.advance(0)
    expect(fixture.network.take()).toEqual(['A ask r1.1/900', 'B permits v4 '])
    fixture.permits.receive('A', grant('p1'))
    await fixture.clock.advance(0)
    expect(fixture.permits.active()).toEqual([])
    expect(fixture.network.take()).toEqual(['A release p1 unsent', 'A cancel r1.1', 'B ask r1.1/900'])
    fixture.permits.receive('B', grant('p2', { version: 4 }))
    await fixture.clock.advance(0)
    expect(asked.result()!.unwrap().permit).toEqual('p2')
  })
}

test('a new owner gets the permits in use at once, and each owner gets its complete list on renewal', async () => {
  const fixture = setUp()
  await ask(fixture)
  fixture.permits.receive('A', grant('p1'))
  const previous = fixture.state.assignment
  fixture.state.assignment = assign(4, { 'worker/w1': 'B', 'worker/w2': 'B' })
  fixture.network.take()
  fixture.permits.assignmentChanged(fixture.state.assignment, previous)
  fixture.permits.renew()
  expect(fixture.network.take()).toEqual(['B permits v4 p1', 'B permits v4 p1'])
})

test('asks to one owner in one turn of the event loop are sent as one message', async () => {
  const fixture = setUp()
  const signal = new AbortController().signal
  for (const id of ['r1.1', 'r2.1']) fixture.permits.acquire({ ...ASK, id }, signal).catch(() => {})
  await fixture.clock.advance(0)
  expect(fixture.network.take()).toEqual(['A ask r1.1/900,r2.1/900'])
})
