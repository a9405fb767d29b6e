import { test } from 'node:test'
import { expect } from 'earl'
import { EMPTY_ASSIGNMENT, FakeClock, Network, PERMIT_VALIDITY_MS, SeededRandom } from '@rattanstep/core'
import type { Ask, Assignment, Grant, Incarnation, Message, RefusalReason, Result } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import { OwnerPermits } from '../../src/index.js'
import type { Placement } from '../../src/index.js'

class SentMessages extends Network {
  readonly sent: Array<{ to: Incarnation, message: Message }> = []

  override addPeer (): void {}
  override setReceiver (): void {}

  override send (to: Incarnation, message: Message): void {
    this.sent.push({ to, message })
  }

  /** @returns what was sent since the last look, as `receiver kind detail` */
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
  const permits = new OwnerPermits({
    // The own node is asked first while it has room.
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

async function ask (rig: ReturnType<typeof setUp>, signal = new AbortController().signal): Promise<{ result: () => Result<Placement, { reason: string }> | null }> {
  let result: Result<Placement, { reason: string }> | null = null
  rig.permits.acquire(ASK, signal).then(value => { result = value }, () => {})
  await rig.clock.advance(0)
  return { result: () => result }
}

test('a grant is usable for its validity, counted from the sending of the ask and the wait that the owner states', async () => {
  const rig = setUp()
  const asked = await ask(rig)
  expect(rig.network.take()).toEqual(['A ask r1.1/900'])
  await rig.clock.advance(300)
  rig.permits.receive('A', grant('p1', { waited: 120 }))
  await rig.clock.advance(0)
  const placement = asked.result()!.unwrap()
  expect([placement.owner, placement.worker, placement.validUntil]).toEqual(['A', 'w1', 120 + PERMIT_VALIDITY_MS])
  expect(rig.permits.active().map(permit => [permit.permit, permit.age])).toEqual([['p1', 180]])
  rig.permits.release(placement, 'completed', 5)
  rig.permits.release(placement, 'completed', 5)
  await rig.clock.advance(0)
  expect(rig.network.take()).toEqual(['A release p1 completed'])
  expect(rig.permits.active()).toEqual([])
})

const LATE = [
  { name: 'a grant that crosses its cancellation', from: 'A', before: [] },
  { name: 'a grant of another owner than the one asked', from: 'B', before: [] },
  { name: 'a second permit for an ask that has one', from: 'A', before: [grant('p0')] }
]

for (const { name, from, before } of LATE) {
  test(`${name} is given back unsent and not used`, async () => {
    const rig = setUp()
    const gone = new AbortController()
    const asked = await ask(rig, gone.signal)
    for (const message of before) rig.permits.receive('A', message)
    if (before.length === 0 && from === 'A') gone.abort()
    await rig.clock.advance(0)
    rig.network.take()
    rig.permits.receive(from, grant('p1'))
    await rig.clock.advance(0)
    expect(rig.network.take()).toEqual([`${from} release p1 unsent`])
    expect(rig.permits.active().some(permit => permit.permit === 'p1')).toEqual(false)
    expect(asked.result()?.unwrapOr(null)?.permit).not.toEqual('p1')
  })
}

test('a repeated grant of a permit in use is neither given back nor used twice', async () => {
  const rig = setUp()
  await ask(rig)
  rig.permits.receive('A', grant('p1'))
  rig.network.take()
  rig.permits.receive('A', grant('p1'))
  await rig.clock.advance(0)
  expect(rig.network.take()).toEqual([])
  expect(rig.permits.active().length).toEqual(1)
})

const REFUSALS: Array<{ message: Message, free: Record<string, number>, next: string[], reason: string | null }> = [
  { message: refuse('patience', 'B'), free: { A: 4, B: 0 }, next: ['A cancel r1.1', 'B ask r1.1/900'], reason: null },
  { message: refuse('not-owner'), free: { A: 4, B: 0 }, next: ['A cancel r1.1', 'B ask r1.1/900'], reason: null },
  { message: refuse('queue-full'), free: { A: 4, B: 0 }, next: [], reason: 'queue-full' },
  { message: refuse('quota'), free: { A: 4, B: 4 }, next: [], reason: 'quota' },
  { message: refuse('draining'), free: { A: 4 }, next: [], reason: 'draining' }
]

for (const { message, free, next, reason } of REFUSALS) {
  test(`${describe(message)} ${JSON.stringify(message)} with free slots ${JSON.stringify(free)} leads to [${next.join('; ')}]`, async () => {
    const rig = setUp(free)
    const asked = await ask(rig)
    rig.network.take()
    rig.permits.receive('A', message)
    await rig.clock.advance(0)
    expect(rig.network.take()).toEqual(next)
    expect(asked.result()?.isErr() === true ? asked.result()!.unwrapErr().reason : null).toEqual(reason)
  })
}

test('an ask without an answer is sent again, and withdrawn when its patience is over', async () => {
  const rig = setUp()
  const asked = await ask(rig)
  await rig.clock.advance(600)
  expect(rig.network.take()).toEqual(['A ask r1.1/900', 'A ask r1.1/400'])
  await rig.clock.advance(400)
  expect(rig.network.take()).toEqual(['A cancel r1.1'])
  expect(asked.result()!.unwrapErr().reason).toEqual('patience')
})

const TAKEOVERS = [
  {
    name: 'the front knows the new owner',
    learn: (rig: ReturnType<typeof setUp>) => {
      const previous = rig.state.assignment
      rig.state.assignment = assign(4, { 'worker/w1': 'B', 'worker/w2': 'B' })
      rig.permits.ownerChanged(rig.state.assignment, previous)
    }
  },
  {
    name: 'the front has told the new owner its permits',
    learn: (rig: ReturnType<typeof setUp>) => {
      rig.permits.receive('B', { kind: 'permits-request', version: 4, workers: ['w1'] })
    }
  }
]

for (const { name, learn } of TAKEOVERS) {
  test(`a grant of the old owner is not used once ${name}`, async () => {
    const rig = setUp()
    const asked = await ask(rig)
    learn(rig)
    await rig.clock.advance(0)
    expect(rig.network.take()).toEqual(['A ask r1.1/900', 'B permits v4 '])
    rig.permits.receive('A', grant('p1'))
    await rig.clock.advance(0)
    expect(rig.permits.active()).toEqual([])
    expect(rig.network.take()).toEqual(['A release p1 unsent', 'A cancel r1.1', 'B ask r1.1/900'])
    rig.permits.receive('B', grant('p2', { version: 4 }))
    await rig.clock.advance(0)
    expect(asked.result()!.unwrap().permit).toEqual('p2')
  })
}

test('a new owner is told the permits in use at once, and each owner its whole list on renewal', async () => {
  const rig = setUp()
  await ask(rig)
  rig.permits.receive('A', grant('p1'))
  const previous = rig.state.assignment
  rig.state.assignment = assign(4, { 'worker/w1': 'B', 'worker/w2': 'B' })
  rig.network.take()
  rig.permits.ownerChanged(rig.state.assignment, previous)
  rig.permits.renew()
  expect(rig.network.take()).toEqual(['B permits v4 p1', 'B permits v4 p1'])
})

test('asks of one turn to one owner go as one message', async () => {
  const rig = setUp()
  const signal = new AbortController().signal
  for (const id of ['r1.1', 'r2.1']) rig.permits.acquire({ ...ASK, id }, signal).catch(() => {})
  await rig.clock.advance(0)
  expect(rig.network.take()).toEqual(['A ask r1.1/900,r2.1/900'])
})
