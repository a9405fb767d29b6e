import { test } from 'node:test'
import { EMPTY_ASSIGNMENT, FakeClock, Network, NO_RESOURCES, PERMIT_VALIDITY_MS, SeededRandom } from '@rattanstep/core'
import type { Ask, Assignment, Incarnation, Instance, Message } from '@rattanstep/core'
import { MemoryLog, Metrics } from '@rattanstep/telemetry'
import type { ResolvedClass, ResolvedRules } from '@rattanstep/rules'
import { expect } from 'earl'
import { AdmissionService } from '../../src/index.js'

const SELF = 'a@1'
const FRONT = 'b@1'
const BOUND_MS = 5000

class RecordingNetwork extends Network {
  readonly sent: Message[] = []

  override addPeer (): void {}

  override setReceiver (): void {}

  override send (_to: Incarnation, message: Message): void {
    this.sent.push(message)
  }
}

const CLASS: ResolvedClass = {
  name: 'usual',
  kind: 'request',
  priority: 50,
  reserve: 0,
  most: 1,
  patience: 60_000,
  bound: BOUND_MS,
  weight: 1,
  ageing: 0,
  expected: 50,
  retries: 0,
  preempts: 'nothing',
  askedBy: 'test',
  line: 1
}

const LIMITS = { header: 1, body: 1, callers: 1, perCaller: 1, headerTimeout: 1, idleTimeout: 1 }
const RULES: ResolvedRules = { classes: [CLASS], routes: [], teams: [], limits: LIMITS }

const WORKER: Instance = {
  id: 'w1',
  role: 'worker',
  state: 'live',
  dataCentre: 'north',
  rack: 'r1',
  address: { host: '127.0.0.1', port: 1 },
  resources: { slots: 2, cores: 2, memory: 64, accelerators: 0 },
  connections: 60
}

function holder (incarnation: Incarnation): Assignment['holders'][number] {
  return { incarnation, dataCentre: 'north', peer: WORKER.address, draining: false }
}

const ASSIGNMENT: Assignment = {
  ...EMPTY_ASSIGNMENT,
  version: 3,
  holders: [holder(SELF), holder(FRONT)],
  owners: { 'worker/w1': SELF }
}
const TWO_WORKERS: Assignment = { ...ASSIGNMENT, owners: { 'worker/w1': SELF, 'worker/w2': SELF } }

class ServiceHarness {
  readonly clock = new FakeClock()
  readonly network = new RecordingNetwork()
  /** `closing`: the worker that is being handed over, if any. */
  readonly state = { lease: 1000, mayAdmit: true, closing: '' }
  readonly service: AdmissionService
  private asks = 0

  constructor (private readonly assignment: Assignment = ASSIGNMENT) {
    const { clock, network, state } = this
    this.service = new AdmissionService({
      self: SELF,
      network,
      clock,
      random: new SeededRandom(1),
      log: new MemoryLog(),
      metrics: new Metrics(),
      assignment: () => assignment,
      mayAdmit: resource => state.lease > 0 && state.mayAdmit && resource !== `worker/${state.closing}`,
      leaseLeft: () => state.lease,
      peers: () => [],
      instance: id => ({ ...WORKER, id })
    })
    this.service.start()
    this.service.configure(RULES)
    this.service.handleAssignmentChange(assignment, EMPTY_ASSIGNMENT)
  }

  /**
   * Reports that both nodes use no permits.
   *
   * @param version - version of the assignment that the front follows
   */
  reportNoPermits (version = 3): void {
    this.service.receive(SELF, { kind: 'permits', version: 3, permits: [] })
    this.service.receive(FRONT, { kind: 'permits', version, permits: [] })
  }

  /**
   * Supplies everything that the takeover of the worker needs.
   *
   * @param requests - number of requests that the worker reports
   */
  finishTakeover (requests = 0): void {
    this.reportNoPermits()
    const workers = Object.keys(this.assignment.owners).map(resource => resource.slice('worker/'.length))
    for (const worker of workers) this.service.markTasksCounted(worker)
    this.clock.tick(PERMIT_VALIDITY_MS)
    for (const worker of workers) this.report(requests, 0, worker)
  }

  report (requests: number, lag: number, worker = 'w1'): void {
    this.service.handleReport({ worker, lag, tasks: [], requests, connections: 0 })
  }

  ask (): string {
    const id = `q${this.asks++}`
    const resources = { ...NO_RESOURCES, slots: 1 }
    const ask: Ask = { id, class: 'usual', caller: 'c', team: '', resources, patience: 60_000, waited: 0, avoid: [] }
    this.service.receive(FRONT, { kind: 'ask', asks: [ask] })
    return id
  }

  /** @returns answers to the asks so far, in order */
  answers (): string[] {
    return this.network.sent.flatMap(message => {
      if (message.kind === 'grant') return message.grants.map(grant => `${grant.ask} granted`)
      if (message.kind === 'refuse') return message.refusals.map(refusal => `${refusal.ask} ${refusal.reason}`)
      return []
    })
  }
}

test('a worker taken over gets work once permits, tasks and a recent enough report are known', () => {
  const harness = new ServiceHarness()
  harness.ask()
  expect(harness.answers()).toEqual([])
  harness.finishTakeover()
  expect(harness.answers()).toEqual(['q0 granted'])
})

const INCOMPLETE: Array<{ title: string, reportedVersion?: number | null, tasks?: boolean, lag?: number }> = [
  { title: 'nodes have not reported their permits', reportedVersion: null },
  { title: 'a node has reported its permits only under an older assignment', reportedVersion: 2 },
  { title: 'the tasks have not been counted', tasks: false },
  { title: 'the previous owner may have granted work after the figures of the report were taken', lag: 1 }
]

for (const { title, reportedVersion = 3, tasks = true, lag = 0 } of INCOMPLETE) {
  test(`a worker taken over gets no work while ${title}`, () => {
    const harness = new ServiceHarness()
    harness.ask()
    if (reportedVersion !== null) harness.reportNoPermits(reportedVersion)
    if (tasks) harness.service.markTasksCounted('w1')
    harness.clock.tick(PERMIT_VALIDITY_MS)
    harness.report(0, lag)
    expect(harness.answers()).toEqual([])
  })
}

test('a request that no node claims keeps its slot until its bound has passed', () => {
  const harness = new ServiceHarness()
  harness.finishTakeover(1)
  harness.ask()
  harness.ask()
  expect(harness.answers()).toEqual(['q0 granted'])
  harness.clock.tick(BOUND_MS + PERMIT_VALIDITY_MS + 100)
  expect(harness.answers()).toEqual(['q0 granted', 'q1 granted'])
})

test('without a lease new asks are refused and waiting asks keep waiting', () => {
  const harness = new ServiceHarness()
  const waiting = harness.ask()
  harness.state.lease = 0
  const late = harness.ask()
  harness.finishTakeover()
  expect(harness.answers()).toEqual([`${late} not-owner`])
  harness.state.lease = 1000
  harness.clock.tick(100)
  expect(harness.answers()).toEqual([`${late} not-owner`, `${waiting} granted`])
})

test('a worker gets work again when its hand-over to another owner does not happen', () => {
  const harness = new ServiceHarness()
  harness.finishTakeover()
  harness.state.mayAdmit = false
  harness.ask()
  harness.clock.tick(100)
  harness.state.mayAdmit = true
  harness.clock.tick(100)
  harness.ask()
  expect(harness.answers().filter(answer => answer.endsWith('granted')).length > 0).toEqual(true)
})

// Guards against requests that are refused while a worker is handed over, although other workers of the same owner have room. The owner closes the
// worker at its next tick, and until then chooses it for grants that it may no longer give.
test('an ask for which a worker in hand-over was chosen goes to another worker', () => {
  const harness = new ServiceHarness(TWO_WORKERS)
  harness.finishTakeover()
  const asks: string[] = []
  for (const closing of ['w1', 'w2']) {
    harness.state.closing = closing
    asks.push(harness.ask(), harness.ask())
    harness.state.closing = ''
    harness.clock.tick(100)
  }
  expect(harness.answers()).toEqual(asks.map(ask => `${ask} granted`))
})

test('an ask waits while all workers of its owner are in hand-over', () => {
  const harness = new ServiceHarness()
  harness.finishTakeover()
  harness.state.mayAdmit = false
  const ask = harness.ask()
  expect(harness.answers()).toEqual([])
  harness.state.mayAdmit = true
  harness.clock.tick(100)
  expect(harness.answers()).toEqual([`${ask} granted`])
})

test('a node in a planned stop refuses new asks', () => {
  const harness = new ServiceHarness()
  harness.finishTakeover()
  harness.service.drain()
  harness.ask()
  expect(harness.answers()).toEqual(['q0 draining'])
})
